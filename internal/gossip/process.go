package gossip

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"rowanshunt/internal/wal"
)

// Process is the identity of one run of a node's program.
type Process struct {
	Incarnation Incarnation
	// ID is random and never changes while the process runs. It is a part of all that
	// the process signs (proposal numbers, terms, event ids).
	ID string
	// StartCountError is why the count of starts is not durable, nil if it is or if
	// there is no disk.
	StartCountError error
}

const (
	// idBytes is the length of the random part of a process id, before hex.
	idBytes = 12
	// startsFile is the file with the count of starts and the last tag. Nodes have it
	// on their disks, so its name stays.
	startsFile = "starts"
	// maxStarts bounds the count that is accepted from the file.
	maxStarts = 1 << 40
)

// NewProcess makes the identity of this process. With a folder on disk the count of starts
// is durable before it returns. Without one, or on a full disk, the incarnation may lie
// below what peers hold of this node's name; refutation then raises it.
func NewProcess(dir string) (Process, error) {
	var raw [idBytes + 4]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return Process{}, errors.Wrap(err, "process id")
	}
	tag := Incarnation(binary.LittleEndian.Uint32(raw[idBytes:])) & tagMask
	starts := int64(0)
	var uncounted error
	if dir != "" {
		starts, tag, uncounted = countStart(dir, tag)
	}
	// The tag leads the id, so that a signature can be matched with a record.
	id := fmt.Sprintf("%05x%s", int64(tag), hex.EncodeToString(raw[:idBytes]))
	return Process{Incarnation: newIncarnation(starts, tag), ID: id, StartCountError: uncounted}, nil
}

// countStart counts this start in the folder and returns a tag that the last start did not
// have. An unreadable count is taken as none. A disk that refuses the new count does not
// keep the node from starting, but a later start may then get the same number. In both
// cases refutation raises the incarnation.
func countStart(dir string, tag Incarnation) (starts int64, _ Incarnation, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, tag, errors.Wrap(err, "make folder")
	}
	raw, err := os.ReadFile(filepath.Join(dir, startsFile))
	if err != nil && !os.IsNotExist(err) {
		return 0, tag, errors.Wrap(err, "read the count of starts")
	}
	var last, lastTag int64
	if n, err := fmt.Sscanf(string(raw), "%d %d\n", &last, &lastTag); err == nil && n == 2 && last >= 0 && last < maxStarts {
		starts = last + 1
		if Incarnation(lastTag) == tag {
			tag = (tag + 1) & tagMask
		}
	}
	if err := wal.ReplaceFile(dir, startsFile, fmt.Appendf(nil, "%d %d\n", starts, tag)); err != nil {
		return starts, tag, errors.Wrap(err, "count this start")
	}
	return starts, tag, nil
}

// SetProcess makes p the record of a process of this node.
func (p *Peer) SetProcess(process Process) {
	p.Incarnation, p.process = process.Incarnation, process.ID
}

// ProcessID identifies the peer together with its process: proposal numbers and terms are
// signed with it. Only this node's own record has the complete id; records of other nodes
// are compared with IssuedSignature.
func (p *Peer) ProcessID() string {
	if p.process != "" {
		return p.Name + "/" + p.process
	}
	return fmt.Sprintf("%s/%d", p.Name, int64(p.Incarnation))
}

// IssuedSignature reports whether the process of this record may have issued the signature.
// With a disk, a process never has the tag of the one before it, so a signature of the
// previous process is told apart.
func (p *Peer) IssuedSignature(signature string) bool {
	if p.process != "" || !p.Incarnation.counted() {
		return p.ProcessID() == signature
	}
	prefix := fmt.Sprintf("%s/%05x", p.Name, int64(p.Incarnation.tag()))
	return len(signature) == len(prefix)+2*idBytes && signature[:len(prefix)] == prefix
}

// Package cell keeps an append-only file of checksummed records that is
// rewritten when it gets long (design 10). The field's standard terms: cell =
// write-ahead log; rewrite = compaction; batch = group commit.
package cell

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/go-faster/errors"

	"rowanshunt/internal/wax"
)

// MaxRecord bounds one record.
const MaxRecord = 32 << 20

const headLen = 8

var table = crc32.MakeTable(crc32.Castagnoli)

// Damage tells what opening a file had to leave out.
type Damage struct {
	AtByte   int64
	CutBytes int64
	Why      string
}

// Cell is one file. Append and Rewrite may be called by one owner at a time;
// the file itself is written by the cell's own goroutine, one batch and one
// fsync at a time, so that only the last batch can ever be torn.
type Cell struct {
	dir, name string
	file      *os.File
	sizeBytes int64

	mu      sync.Mutex
	queue   []job
	closed  bool
	wake    chan struct{}
	done    chan struct{}
	failure error
	written Written
}

// Written counts what a cell did since it was opened.
type Written struct {
	Syncs    int64 // batches, each one write and one fsync
	Bytes    int64
	Rewrites int64
}

// Written tells what the cell did so far.
func (c *Cell) Written() Written {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

type job struct {
	records [][]byte
	anew    bool
	source  func(write func(record []byte) error) error // of a rewrite
	then    func(error)
}

// Open reads the file whole, hands each good record to each, cuts a torn tail
// and says what it cut.
func Open(dir, name string, each func(record []byte) error) (*Cell, *Damage, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, errors.Wrap(err, "make folder")
	}
	path := filepath.Join(dir, name)
	_ = os.Remove(path + ".new")
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open cell")
	}
	goodBytes, damage, err := scan(f, each)
	if err != nil {
		_ = f.Close()
		return nil, nil, err
	}
	if damage != nil {
		if err := f.Truncate(goodBytes); err != nil {
			_ = f.Close()
			return nil, nil, errors.Wrap(err, "cut torn tail")
		}
	}
	if _, err := f.Seek(goodBytes, io.SeekStart); err != nil {
		_ = f.Close()
		return nil, nil, errors.Wrap(err, "seek")
	}
	if err := errors.Join(f.Sync(), syncDir(dir)); err != nil {
		_ = f.Close()
		return nil, nil, errors.Wrap(err, "sync")
	}
	c := &Cell{dir: dir, name: name, file: f, sizeBytes: goodBytes, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go c.work()
	return c, damage, nil
}

func scan(f *os.File, each func([]byte) error) (int64, *Damage, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, nil, errors.Wrap(err, "stat")
	}
	totalBytes := info.Size()
	cut := func(at int64, why string) (int64, *Damage, error) {
		return at, &Damage{AtByte: at, CutBytes: totalBytes - at, Why: why}, nil
	}
	var at int64
	head := make([]byte, headLen)
	for at < totalBytes {
		if totalBytes-at < headLen {
			return cut(at, "short head")
		}
		if _, err := f.ReadAt(head, at); err != nil {
			return 0, nil, errors.Wrap(err, "read head")
		}
		lenBytes := int64(binary.LittleEndian.Uint32(head))
		if lenBytes == 0 || lenBytes > MaxRecord {
			return cut(at, "impossible length")
		}
		if at+headLen+lenBytes > totalBytes {
			return cut(at, "short record")
		}
		body := make([]byte, lenBytes)
		if _, err := f.ReadAt(body, at+headLen); err != nil {
			return 0, nil, errors.Wrap(err, "read record")
		}
		if crc32.Checksum(body, table) != binary.LittleEndian.Uint32(head[4:]) {
			return cut(at, "checksum")
		}
		if err := each(body); err != nil {
			return 0, nil, wax.New(wax.Damaged, f.Name(), err.Error(), "the file holds a record of another version: run that version or empty the folder so that the node joins anew")
		}
		at += headLen + lenBytes
	}
	return at, nil, nil
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Append writes the records and calls then once they are on disk, or with the
// error that kept them off it. then runs on the cell's goroutine.
func (c *Cell) Append(then func(error), records ...[]byte) { c.push(job{records: records, then: then}) }

// Rewrite replaces the whole file by the records that source writes, which must
// say all that the earlier appends said. source runs on the cell's goroutine,
// record by record, so that a long file is never in memory whole.
func (c *Cell) Rewrite(then func(error), source func(write func(record []byte) error) error) {
	c.push(job{anew: true, source: source, then: then})
}

// Write appends and waits.
func (c *Cell) Write(records ...[]byte) error {
	got := make(chan error, 1)
	c.Append(func(err error) { got <- err }, records...)
	return <-got
}

// SizeBytes is the length of the file, with what is queued left out.
func (c *Cell) SizeBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sizeBytes
}

// Close writes what is queued and closes the file.
func (c *Cell) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.poke()
	<-c.done
}

func (c *Cell) push(j job) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		j.then(wax.New(wax.Declined, c.name, "the cell is closed", "start the node again"))
		return
	}
	c.queue = append(c.queue, j)
	c.mu.Unlock()
	c.poke()
}

func (c *Cell) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Cell) work() {
	defer close(c.done)
	for {
		c.mu.Lock()
		batch, closed := c.queue, c.closed
		c.queue = nil
		c.mu.Unlock()
		if len(batch) == 0 {
			if closed {
				_ = c.file.Close()
				return
			}
			<-c.wake
			continue
		}
		err := c.failure
		if err == nil {
			err = c.commit(batch)
			c.failure = err
		}
		for _, j := range batch {
			j.then(err)
		}
	}
}

// commit writes a batch with one write and one fsync; a rewrite in the batch
// starts a new file that takes the old one's name once it is whole.
func (c *Cell) commit(batch []job) error {
	first := 0
	for i, j := range batch {
		if j.anew {
			first = i
		}
	}
	var buf []byte
	for _, j := range batch[first:] {
		for _, r := range j.records {
			var err error
			if buf, err = c.framed(buf, r); err != nil {
				return err
			}
		}
	}
	if !batch[first].anew {
		if _, err := c.file.Write(buf); err != nil {
			return errors.Wrap(err, "write")
		}
		if err := c.file.Sync(); err != nil {
			return errors.Wrap(err, "sync")
		}
		c.grow(int64(len(buf)), false)
		return nil
	}
	path := filepath.Join(c.dir, c.name)
	f, err := os.OpenFile(path+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return errors.Wrap(err, "open new")
	}
	wroteBytes := int64(len(buf))
	w := bufio.NewWriterSize(f, 64<<10)
	var one []byte
	err = batch[first].source(func(r []byte) error {
		var err error
		if one, err = c.framed(one[:0], r); err != nil {
			return err
		}
		wroteBytes += int64(len(one))
		_, err = w.Write(one)
		return err
	})
	if err == nil {
		_, err = w.Write(buf)
	}
	if err == nil {
		err = w.Flush()
	}
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err == nil {
		err = syncDir(c.dir)
	}
	if err != nil {
		_ = f.Close()
		return errors.Wrap(err, "rewrite")
	}
	_ = c.file.Close()
	c.file = f
	c.grow(wroteBytes, true)
	return nil
}

// framed adds a record with its head to buf.
func (c *Cell) framed(buf, r []byte) ([]byte, error) {
	if len(r) == 0 || len(r) > MaxRecord {
		return buf, wax.New(wax.TooLarge, c.name, "a record is empty or too long", "bound what is stored")
	}
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(r)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(r, table))
	return append(buf, r...), nil
}

// Records is a source of records that are there already.
func Records(records ...[]byte) func(func([]byte) error) error {
	return func(write func([]byte) error) error {
		for _, r := range records {
			if err := write(r); err != nil {
				return err
			}
		}
		return nil
	}
}

func (c *Cell) grow(nBytes int64, anew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if anew {
		c.sizeBytes = 0
		c.written.Rewrites++
	}
	c.written.Syncs++
	c.written.Bytes += nBytes
	c.sizeBytes += nBytes
}

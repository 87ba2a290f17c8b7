package balancer

import (
	"strconv"
	"strings"
)

// The parts of a prompt, as clients name them.

// Part is one part of a prompt.
type Part struct {
	ID   string
	Toks int64
}

// ParseParts reads X-Rowanshunt-Prompt-Prefix; what cannot be read is left out.
func ParseParts(head string) []Part {
	if head == "" {
		return nil
	}
	var out []Part
	for _, s := range strings.Split(head, ",") {
		id, toks, ok := strings.Cut(strings.TrimSpace(s), ":")
		if !ok || id == "" || len(out) >= 64 {
			continue
		}
		n, err := strconv.ParseInt(toks, 10, 64)
		if err != nil || n < 0 || n > 1<<32 {
			continue
		}
		out = append(out, Part{ID: id, Toks: n})
	}
	return out
}

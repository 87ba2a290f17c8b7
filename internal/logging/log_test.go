package logging

import (
	"bytes"
	"strings"
	"testing"
)

// One line per event, key=value, at or above the level (design 1.4).
func TestLog(t *testing.T) {
	var out bytes.Buffer
	l := NewLog(&out, "info", "node", "edge-1")
	l.Debug("hidden")
	l.Info("seen", "n", 3, "why", "two words")
	l.Warn("worse")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], `node=edge-1 level=info event=seen n=3 why="two words"`) || !strings.Contains(lines[1], "level=warn event=worse") {
		t.Errorf("%q", lines)
	}
}

package fault

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// A fault says what, where and what to do; its kind outlives wrapping
// (design 1.3).
func TestFault(t *testing.T) {
	f := New(Stale, "If-Match", "another version is in place", "read it again")
	if got := f.Error(); got != "stale: If-Match: another version is in place (remedy: read it again)" {
		t.Errorf("%q", got)
	}
	if err := errors.Wrap(f, "put"); !Is(err, Stale) || KindOf(err) != Stale || Is(nil, Stale) {
		t.Error("the kind is lost by wrapping")
	}
	if KindOf(errors.New("x")) != Internal || Kind(99).String() != "kind_99" {
		t.Error("strangers")
	}
	var l Collector
	if l.Err() != nil {
		t.Error("an empty collector holds an error")
	}
	l.Add(nil)
	l.Addf("a", "is wrong", "mend it")
	l.Addf("b", "too", "mend it")
	if err := l.Err(); err == nil || !strings.Contains(err.Error(), "a: is wrong") || !strings.Contains(err.Error(), "b: too") || !Is(err, Invalid) {
		t.Errorf("%v", err)
	}
}

package discovery

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// A reader gets each departure once, page by page; a cursor of another life of
// the node starts from the first one kept; what is older than the log keeps, or
// has come back up, is left out.
func TestDepartureLogIsReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f, _ := alone(t, ctx, "")
		const leaving = departurePage + 40
		for i := range leaving {
			w := Worker{ID: fmt.Sprintf("w%03d", i), Svc: "s", Addr: "10.9.0.1:80", Phase: "draining", Seq: 1}
			if _, err := f.Heartbeat(ctx, w); err != nil {
				t.Fatal(err)
			}
		}
		read := func(from departureCursor) (ids map[string]bool, next departureCursor, pages int) {
			ids = map[string]bool{}
			for next = from; ; {
				page, err := f.onDepartures(ctx, &next)
				if err != nil {
					t.Fatal(err)
				}
				pages++
				for _, w := range page.Workers {
					if ids[w.ID] {
						t.Errorf("%s is told twice", w.ID)
					}
					ids[w.ID] = true
				}
				next = page.Next
				if !page.More {
					return ids, next, pages
				}
			}
		}
		ids, next, pages := read(departureCursor{})
		if len(ids) != leaving || pages != 2 {
			t.Errorf("%d of %d departures in %d pages", len(ids), leaving, pages)
		}
		if ids, _, _ := read(next); len(ids) != 0 {
			t.Errorf("%d departures are told again", len(ids))
		}
		if _, err := f.Heartbeat(ctx, Worker{ID: "w007", Gone: true}); err != nil {
			t.Fatal(err)
		}
		if ids, _, _ := read(next); len(ids) != 1 || !ids["w007"] {
			t.Errorf("after one more: %v", ids)
		}
		if ids, _, _ := read(departureCursor{Epoch: next.Epoch + 1, Seq: next.Seq}); len(ids) != leaving {
			t.Errorf("a cursor of another life: %d departures", len(ids))
		}
		time.Sleep(departureKeepUs*time.Microsecond + time.Second)
		if _, err := f.Heartbeat(ctx, Worker{ID: "last", Gone: true}); err != nil {
			t.Fatal(err)
		}
		if ids, _, _ := read(departureCursor{}); len(ids) != 1 || !ids["last"] {
			t.Errorf("after a minute: %d departures", len(ids))
		}
		cancel()
		time.Sleep(time.Second)
	})
}

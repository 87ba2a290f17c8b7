package batch

import (
	"context"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
)

// callLoop calls run on the event loop and waits for its reply: unlike eventloop.Call, the
// reply may come after run returned.
func callLoop[T any](ctx context.Context, f *eventloop.Loop, run func(reply func(*T, error))) (*T, error) {
	type both struct {
		out *T
		err error
	}
	got := make(chan both, 1)
	if err := f.Post(ctx, func() { run(func(out *T, err error) { got <- both{out, err} }) }); err != nil {
		return nil, err
	}
	select {
	case v := <-got:
		return v.out, v.err
	case <-ctx.Done():
		return nil, fault.New(fault.Unsure, "", "no answer in time", "try again")
	}
}

// afterAll returns a callback that calls then once it was called that many times, with a
// fault if any of these calls had one. It runs on the event loop.
func afterAll(calls int, then func(error)) func(error) {
	var failed error
	return func(err error) {
		if err != nil {
			failed = err
		}
		if calls--; calls == 0 {
			then(failed)
		}
	}
}

// removeDue removes those that are due from a list, in place.
func removeDue[T any](list []*T, isDue func(*T) bool) (keep, due []*T) {
	keep = list[:0]
	for _, x := range list {
		if isDue(x) {
			due = append(due, x)
		} else {
			keep = append(keep, x)
		}
	}
	clear(list[len(keep):])
	return keep, due
}

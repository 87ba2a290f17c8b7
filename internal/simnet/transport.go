package simnet

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/codec"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/rpc"
)

// TransportOf is the transport as the node at an address sees it.
func (n *Network) TransportOf(addr string) rpc.Transport { return &transport{net: n, from: addr} }

type transport struct {
	net  *Network
	from string
}

// errNoReply is the fault of a call that was lost, either way, or is late.
func errNoReply(kind string) error {
	return fault.New(fault.Unsure, kind, "no answer in time", "try again")
}

// Call implements rpc.Transport.
func (t *transport) Call(ctx context.Context, addr, kind string, in, out any) error {
	t.net.beforeCall(Call{From: t.from, To: addr, Kind: kind, Body: in})
	running, stop := t.net.whileRunning(ctx, t.from)
	defer stop()
	err := t.call(running, addr, kind, in, out)
	t.net.AwaitRunning(t.from)
	return err
}

func (t *transport) call(ctx context.Context, addr, kind string, in, out any) error {
	body, err := codec.Marshal(in)
	if err != nil {
		return fault.New(fault.Internal, kind, err.Error(), "report this")
	}
	to, err := t.send(ctx, addr, kind, body)
	if err != nil {
		return err
	}
	replies := t.serve(to, addr, kind, body)
	var r reply
	select {
	case r = <-replies:
	case <-ctx.Done():
		return errNoReply(kind)
	}
	if err := t.receive(ctx, to.site, addr, kind); err != nil {
		return err
	}
	if r.err != nil {
		return asPeerFault(kind, r.err)
	}
	if out == nil {
		return nil
	}
	return msgpack.Unmarshal(r.body, out)
}

// send carries a call to its address.
func (t *transport) send(ctx context.Context, addr, kind string, body []byte) (passage, error) {
	if !t.net.pass(ctx, t.from, "") {
		return passage{}, errNoReply(kind)
	}
	t.net.countSent(kind, body)
	to := t.net.draw(t.from, addr)
	if to.lost {
		<-ctx.Done()
		return passage{}, errNoReply(kind)
	}
	if !wait(ctx, to.delay) {
		return passage{}, errNoReply(kind)
	}
	if to.site == nil || to.site.ctx.Err() != nil {
		return passage{}, fault.New(fault.Unreached, addr, "nobody listens", "look whether that node runs")
	}
	return to, nil
}

// reply is what a handler answered.
type reply struct {
	body []byte
	err  error
}

// serve runs the handler of a call that arrived, twice if it was duplicated. It does
// not end with the caller: the node's context bounds it, and the channel has space
// for both replies.
func (t *transport) serve(to passage, addr, kind string, body []byte) <-chan reply {
	replies := make(chan reply, 2)
	run := func() {
		if !t.net.pass(to.site.ctx, addr, kind) {
			return
		}
		t.net.AwaitRunning(addr)
		out, err := to.site.mux.Serve(to.site.ctx, kind, body)
		t.net.AwaitRunning(addr)
		t.net.countSent(kind, out)
		replies <- reply{out, err}
	}
	go run()
	if to.duplicated {
		go run()
	}
	return replies
}

// receive carries a reply back from an address.
func (t *transport) receive(ctx context.Context, from *site, addr, kind string) error {
	if !t.net.pass(ctx, addr, "") || !t.net.pass(ctx, t.from, "") {
		return errNoReply(kind)
	}
	back := t.net.draw(addr, t.from)
	if back.lost || from.ctx.Err() != nil {
		<-ctx.Done()
		return errNoReply(kind)
	}
	if !wait(ctx, back.delay) {
		return errNoReply(kind)
	}
	return nil
}

// asPeerFault is a handler's error as it would have come over the wire.
func asPeerFault(kind string, err error) error {
	var f *fault.Fault
	if errors.As(err, &f) {
		return fault.New(f.Kind, f.Field, f.What, f.Remedy)
	}
	return fault.New(fault.Unsure, kind, err.Error(), "try again")
}

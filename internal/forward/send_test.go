package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rowanshunt/internal/discovery"
	"rowanshunt/internal/fault"
)

// script is what a worker does on its nth connection, from 0.
type script func(n int, conn *net.TCPConn, br *bufio.Reader)

// scriptedNode is a node's forwarding before workers that follow scripts.
type scriptedNode struct {
	t         *testing.T
	forwarder *Forwarder
	server    *httptest.Server
	dir       *discovery.Directory
}

func newScriptedNode(t *testing.T, limitMs int, scripts ...script) *scriptedNode {
	t.Helper()
	n := &scriptedNode{t: t, dir: &discovery.Directory{ByService: map[string][]*discovery.Worker{}, ByID: map[string]*discovery.Worker{}}}
	for i, play := range scripts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			for conns := 0; ; conns++ {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					play(conns, conn.(*net.TCPConn), bufio.NewReader(conn))
				}()
			}
		}()
		w := &discovery.Worker{ID: fmt.Sprintf("w%d", i), Svc: "a", Addr: ln.Addr().String(), Slots: 8, Phase: "up"}
		n.dir.ByService["a"] = append(n.dir.ByService["a"], w)
		n.dir.ByID[w.ID] = w
	}
	n.forwarder = newForwarder(t, func() *discovery.Directory { return n.dir }, limitMs)
	n.server = httptest.NewServer(n.forwarder)
	stop := make(chan struct{})
	t.Cleanup(func() {
		n.server.CloseClientConnections() // the sweeps end what is under way
		n.server.Close()
		close(stop)
		n.forwarder.Sender.Pool.CloseAll()
	})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(SweepPeriod.Duration()):
				n.forwarder.Sweep()
			}
		}
	}()
	return n
}

func (s *scriptedNode) request(c call) *Request {
	until := time.Now().Add(2 * time.Second)
	return &Request{Method: c.method(), Target: c.target(), Host: hostileHost, Header: http.Header{}, Body: c.body(), ID: c.id,
		Deadline: until, TimeLeftMs: func() int64 { return time.Until(until).Milliseconds() }, Idempotent: c.repeatable()}
}

func (s *scriptedNode) send(c call, change func(*Request)) (*Response, error) {
	p := s.request(c)
	if change != nil {
		change(p)
	}
	return s.forwarder.Sender.Send(context.Background(), s.dir.ByID["w0"], p, nil)
}

// ask sends a request as a client does, on a connection of its own.
func (s *scriptedNode) ask(c call) (status int, body string, err error) {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Rowanshunt-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", c.method(), c.target(), hostileHost, c.id, len(c.body()), c.body())
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method()})
	if err != nil {
		return 0, "", err
	}
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

func (s *scriptedNode) idle() int {
	cs := s.forwarder.Sender.Pool
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.byWorker["w0"] == nil {
		return 0
	}
	return len(cs.byWorker["w0"].idle)
}

func read(br *bufio.Reader) (*http.Request, bool) {
	req, err := http.ReadRequest(br)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req, err == nil
}

func say(conn net.Conn, parts ...string) { _, _ = io.WriteString(conn, strings.Join(parts, "")) }

// A refusal that comes a second time stands for no later send of the same request
// (design 6.4).
func TestSurplusUnderTheSameID(t *testing.T) {
	c, _ := callOf("unsafe-3")
	var ran atomic.Int64
	n := newScriptedNode(t, 2000, func(nth int, conn *net.TCPConn, br *bufio.Reader) {
		if _, ok := read(br); !ok {
			return
		}
		if nth == 0 {
			say(conn, refusal(c.id, 503, 0))
			if _, ok := read(br); !ok {
				return
			}
			ran.Add(1)
			say(conn, refusal(c.id, 503, 0), completeResponse(c, 200))
			return
		}
		ran.Add(1)
		say(conn, completeResponse(c, 200))
		_, _ = read(br)
	})
	if _, err := n.send(c, nil); !fault.Is(err, fault.Refused) {
		t.Fatalf("refused: %v", err)
	}
	a, err := n.send(c, nil)
	if err != nil {
		t.Fatalf("the second send: %v, ran %d times", err, ran.Load())
	}
	a.Discard()
}

// A connection on which nothing was sent goes on resting from when it was used.
func TestUnusedConnRestsOn(t *testing.T) {
	c, _ := callOf("unsafe-3")
	n := newScriptedNode(t, 2000, func(_ int, conn *net.TCPConn, br *bufio.Reader) {
		for {
			if _, ok := read(br); !ok {
				return
			}
			say(conn, strings.Replace(completeResponse(c, 200), "\r\n", "\r\nKeep-Alive: timeout=2\r\n", 1))
		}
	})
	a, err := n.send(c, nil)
	if err != nil {
		t.Fatal(err)
	}
	a.Discard()
	cs := n.forwarder.Sender.Pool
	before := *cs.byWorker["w0"].idle[0]
	time.Sleep(5 * time.Millisecond)
	other, _ := callOf("unsafe-4")
	if _, err := n.send(other, func(p *Request) { p.StillValid = func() bool { return false } }); !fault.Is(err, fault.Conflict) {
		t.Fatalf("after its claim ended: %v", err)
	}
	after := cs.byWorker["w0"].idle[0]
	if after.expires != before.expires || after.idleSince != before.idleSince {
		t.Errorf("rests until %d from %d, was until %d from %d", after.expires, after.idleSince, before.expires, before.idleSince)
	}
}

// What stops a request at the write stops it before any byte.
func TestStoppedAtTheWrite(t *testing.T) {
	c, _ := callOf("unsafe-3")
	var came atomic.Int64
	n := newScriptedNode(t, 2000, func(_ int, _ *net.TCPConn, br *bufio.Reader) {
		if _, err := br.ReadByte(); err == nil {
			came.Add(1)
		}
	})
	worker := n.dir.ByID["w0"]
	gone, leave := context.WithCancel(context.Background())
	for name, stop := range map[string]func(*Request){
		"a lost claim":    func(p *Request) { p.StillValid = func() bool { return false } },
		"no time":         func(p *Request) { p.Deadline = time.Now().Add(-time.Millisecond) },
		"the client left": func(p *Request) { p.StillValid = func() bool { leave(); return true } },
		"a foreign line":  func(p *Request) { p.ID = "a\r\nX-Rowanshunt-Model: z" },
	} {
		p := n.request(c)
		stop(p)
		ctx := context.Background()
		if name == "the client left" {
			leave()
			// The connection is there already, so that its dial does not fail first.
			if conn, err := n.forwarder.Sender.Pool.Get(context.Background(), worker, "x", 9, 0); err == nil {
				n.forwarder.Sender.Pool.PutUnused(conn)
			}
			ctx = gone
		}
		if _, err := n.forwarder.Sender.Send(ctx, worker, p, nil); err == nil || fault.Is(err, fault.Unsure) {
			t.Errorf("%s: %v", name, err)
		}
	}
	time.Sleep(50 * time.Millisecond)
	if came.Load() > 0 {
		t.Errorf("%d of them reached the worker", came.Load())
	}
}

// A body whose end was not seen never goes back with its connection.
func TestConnWithRestOfBody(t *testing.T) {
	c, _ := callOf("safe-3")
	for name, answer := range map[string]string{"a refusal": refusal(c.id, 503, 100<<10), "a surplus answer": refusal("safe-4", 503, maxSurplusBodyBytes+5) + completeResponse(c, 200)} {
		n := newScriptedNode(t, 2000, func(_ int, conn *net.TCPConn, br *bufio.Reader) {
			if _, ok := read(br); ok {
				say(conn, answer)
				_, _ = read(br)
			}
		})
		if a, err := n.send(c, nil); err == nil {
			a.Discard()
		}
		if n.idle() > 0 {
			t.Errorf("%s: its connection is used again", name)
		}
	}
}

// A worker that forgot a connection may have run what came on it: a refusal of the
// second send promises nothing for the first.
func TestRefusedAfterForgotten(t *testing.T) {
	c, _ := callOf("safe-3")
	n := newScriptedNode(t, 2000, func(nth int, conn *net.TCPConn, br *bufio.Reader) {
		if _, ok := read(br); !ok {
			return
		}
		if nth > 0 {
			say(conn, refusal(c.id, 503, 0))
			return
		}
		say(conn, completeResponse(callMust("safe-4"), 200))
		_, _ = read(br)
		reset(conn)
	})
	a, err := n.send(callMust("safe-4"), nil)
	if err != nil {
		t.Fatal(err)
	}
	a.Discard()
	if _, err := n.send(c, nil); !fault.Is(err, fault.Unsure) {
		t.Errorf("refused on a new connection after it was forgotten: %v", err)
	}
}

func callMust(id string) call {
	c, ok := callOf(id)
	if !ok {
		panic(id)
	}
	return c
}

// An answer without a length is complete if its connection ends in order, and not if
// it is reset.
func TestAnswerWithoutLength(t *testing.T) {
	for _, size := range []int{100, maxBufferedBytes + 5000} {
		for _, inOrder := range []bool{true, false} {
			c := callMust("unsafe-3")
			body := strings.Repeat("z", size)
			n := newScriptedNode(t, 3000, func(_ int, conn *net.TCPConn, br *bufio.Reader) {
				if _, ok := read(br); !ok {
					return
				}
				say(conn, sealed(c, 200), "\r\n", body)
				if !inOrder {
					time.Sleep(50 * time.Millisecond)
					reset(conn)
				}
			})
			status, got, err := n.ask(c)
			if inOrder && (status != 200 || got != body || err != nil) {
				t.Errorf("%d bytes, ended in order: %d with %d bytes, %v", size, status, len(got), err)
			}
			if !inOrder && status == 200 && err == nil {
				t.Errorf("%d bytes, reset: seems complete with %d bytes", size, len(got))
			}
		}
	}
}

// A stream is not gone on with by an answer of another kind, nor behind data that
// bore no id: the client sees that it ended early.
func TestStreamBrokenOff(t *testing.T) {
	c := callMust("resumable-4")
	chunks := sealed(c, 200) + "Transfer-Encoding: chunked\r\n\r\n"
	for _, tc := range []struct{ name, first, second, want string }{
		{"another answer", chunk(c.event(1)), completeResponse(c, 404), c.event(1)},
		{"a failure", chunk(c.event(1)), completeResponse(c, 500), c.event(1)},
		{"data without id", chunk(c.event(1)) + chunk("data: loose\n\n"), streamFrom(c, 1), c.event(1) + "data: loose\n\n"},
		{"other weights", chunk(c.event(1)), strings.Replace(streamFrom(c, 1), "\r\n", "\r\n"+HeaderWeightVersions+": 8\r\n", 1), c.event(1)},
	} {
		var sent atomic.Int64
		play := func(_ int, conn *net.TCPConn, br *bufio.Reader) {
			if _, ok := read(br); !ok {
				return
			}
			if sent.Add(1) == 1 {
				say(conn, strings.Replace(chunks, "\r\n", "\r\n"+HeaderWeightVersions+": 7\r\n", 1), tc.first)
				return
			}
			say(conn, tc.second)
		}
		n := newScriptedNode(t, 3000, play, play, play)
		if status, got, err := n.ask(c); status != 200 || got != tc.want || err == nil {
			t.Errorf("%s: %d, %v with %q", tc.name, status, err, got)
		}
	}
	// A comment bears no id either, but nothing is lost with it.
	var sent atomic.Int64
	play := func(_ int, conn *net.TCPConn, br *bufio.Reader) {
		if req, ok := read(br); ok && sent.Add(1) == 1 {
			say(conn, chunks, chunk(": note\n\n"), chunk(c.event(1)))
		} else if ok {
			say(conn, streamFrom(c, had(req)))
		}
	}
	n := newScriptedNode(t, 3000, play, play)
	want := ": note\n\n"
	for i := 1; i <= c.events(); i++ {
		want += c.event(i)
	}
	if status, got, err := n.ask(c); status != 200 || got != want || err != nil {
		t.Errorf("a comment: %d, %v with %q", status, err, got)
	}
}

// A worker's status that would promise that nothing ran is no such promise unless
// the worker says so.
func TestStatusWithoutPromise(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		c := callMust("unsafe-3")
		n := newScriptedNode(t, 3000, func(_ int, conn *net.TCPConn, br *bufio.Reader) {
			if _, ok := read(br); ok {
				say(conn, completeResponse(c, status))
			}
		})
		if got, body, err := n.ask(c); got != http.StatusBadGateway || err != nil {
			t.Errorf("%d after a run: the client gets %d %q, %v", status, got, body, err)
		}
	}
}

// A failure keeps its status, however long it is.
func TestLongFailureKeepsItsStatus(t *testing.T) {
	c := callMust("unsafe-199") // its answers are over maxBufferedBytes
	n := newScriptedNode(t, 3000, func(_ int, conn *net.TCPConn, br *bufio.Reader) {
		if _, ok := read(br); ok {
			say(conn, completeResponse(c, 500))
		}
	})
	if status, got, err := n.ask(c); status != 500 || got != string(c.answer(500)) || err != nil {
		t.Errorf("%d with %d bytes, %v", status, len(got), err)
	}
}

// A client that left, or stopped reading, keeps no worker at work (design 6.2).
func TestClientDisconnects(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		limitMs := 400
		if leaves {
			limitMs = 8000 // so that its end is not what ends the wait
		}
		c := callMust("stream-5")
		ended := make(chan time.Time, 1)
		var once sync.Once
		n := newScriptedNode(t, limitMs, func(_ int, conn *net.TCPConn, br *bufio.Reader) {
			if _, ok := read(br); !ok {
				return
			}
			defer once.Do(func() { ended <- time.Now() })
			say(conn, sealed(c, 200), "Transfer-Encoding: chunked\r\n\r\n")
			for i := 1; ; i++ {
				if leaves {
					if _, err := conn.Read(make([]byte, 1)); err != nil {
						return
					}
				}
				if _, err := io.WriteString(conn, chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", 60<<10)))); err != nil {
					return
				}
			}
		})
		conn, err := net.Dial("tcp", n.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Rowanshunt-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", c.target(), hostileHost, c.id)
		time.Sleep(100 * time.Millisecond)
		from, within := time.Now(), 500*time.Millisecond
		if leaves {
			_ = conn.Close()
		} else {
			within += time.Duration(limitMs)*time.Millisecond + clientWriteGrace
		}
		select {
		case at := <-ended:
			if at.Sub(from) > within {
				t.Errorf("leaves %v: its worker was at work for %v more", leaves, at.Sub(from))
			}
		case <-time.After(8 * time.Second):
			t.Errorf("leaves %v: its worker is at work after 8 s", leaves)
		}
	}
}

// A body that does not come in the request's time is refused, as a promise, and
// its share of the room for bodies is given back.
func TestSlowBody(t *testing.T) {
	n := newScriptedNode(t, 300, func(_ int, _ *net.TCPConn, br *bufio.Reader) { _, _ = read(br) })
	for _, framing := range []string{"Content-Length: 1000", "Transfer-Encoding: chunked"} {
		conn, err := net.Dial("tcp", n.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: %s\r\nX-Rowanshunt-Request-Id: unsafe-1\r\n%s\r\n\r\n5\r\nab", hostileHost, framing)
		began := time.Now()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != http.StatusRequestTimeout || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: %v %v", framing, resp, err)
		}
		if took := time.Since(began); took > 800*time.Millisecond {
			t.Errorf("%s: answered after %v", framing, took)
		}
	}
	time.Sleep(20 * time.Millisecond)
	if held := n.forwarder.bodyBytesInUse.Load(); held != 0 {
		t.Errorf("%d bytes are held on", held)
	}
}

// A header without an end costs neither memory nor the request's whole time.
func TestEndlessHead(t *testing.T) {
	c := callMust("unsafe-3")
	wrote := make(chan int, 1)
	n := newScriptedNode(t, 5000, func(_ int, conn *net.TCPConn, br *bufio.Reader) {
		if _, ok := read(br); !ok {
			return
		}
		line, sum := "X-Pad: "+strings.Repeat("p", 4000)+"\r\n", 0
		say(conn, sealed(c, 200))
		for {
			sent, err := io.WriteString(conn, line)
			if sum += sent; err != nil {
				wrote <- sum
				return
			}
		}
	})
	began := time.Now()
	if status, _, err := n.ask(c); status != http.StatusBadGateway || err != nil {
		t.Errorf("%d, %v", status, err)
	}
	if sum := <-wrote; sum > 32<<20 || time.Since(began) > 3*time.Second {
		t.Errorf("%d bytes of a header were read in %v", sum, time.Since(began))
	}
}

package forward

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// silence is where in its response a worker stops to send.
type silence struct {
	name  string
	call  string
	until string // what of the response it sends before: up to and with this text
}

var silences = []silence{
	{"a stream before its header", "resumable-4", ""},
	{"a stream before its first event", "resumable-4", "\r\n\r\n"},
	{"a stream behind its first event", "resumable-4", "resumable-4/1\n\n\r\n"},
	{"a single response before its header", "safe-1", ""},
	{"a single response in its body", "safe-1", "answer 200"},
}

// response is what a worker answers, and the part that it sends before it falls silent.
func (s silence) response() (whole, before string) {
	c := callMust(s.call)
	whole = completeResponse(c, http.StatusOK)
	if c.streamed() {
		whole = streamFrom(c, 0)
	}
	i := strings.Index(whole, s.until)
	return whole, whole[:i+len(s.until)]
}

// body is what the client must get.
func (s silence) body() string {
	c := callMust(s.call)
	if !c.streamed() {
		return string(c.answer(http.StatusOK))
	}
	var events strings.Builder
	for i := 1; i <= c.events(); i++ {
		events.WriteString(c.event(i))
	}
	return events.String()
}

// silentNode is a node before three workers. The first that gets the request falls silent,
// then runs silent; the others run other.
func (s silence) node(t *testing.T, silent func(conn *net.TCPConn, rest string), other func(conn *net.TCPConn, req *http.Request)) *scriptedNode {
	t.Helper()
	whole, before := s.response()
	var n *scriptedNode
	var requests atomic.Int64
	play := func(_ int, conn *net.TCPConn, br *bufio.Reader) {
		for {
			req, ok := read(br)
			if !ok {
				return
			}
			if requests.Add(1) > 1 {
				other(conn, req)
				continue
			}
			// A worker that could not be reached lately is not waited for as long.
			n.forwarder.Sender.Balancer.RecordUnreachable(req.Header.Get(HeaderWantWorker))
			say(conn, before)
			silent(conn, whole[len(before):])
		}
	}
	n = newScriptedNode(t, 8000, play, play, play)
	return n
}

// untilClosed waits until the other end of the connection has closed it.
func untilClosed(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) }

// Guards against an answer that is cut off, or given up as 502, since its worker is silent
// for a while and the other workers are full.
func TestSilentWorkerKeepsItsRequest(t *testing.T) {
	t.Parallel()
	for _, s := range silences {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			var rejections atomic.Int64
			bothRejected := make(chan struct{})
			n := s.node(t, func(conn *net.TCPConn, rest string) {
				<-bothRejected
				say(conn, rest)
			}, func(conn *net.TCPConn, _ *http.Request) {
				say(conn, refusal(s.call, http.StatusServiceUnavailable, 0))
				if rejections.Add(1) == 2 {
					close(bothRejected)
				}
			})
			if status, got, err := n.ask(callMust(s.call)); status != http.StatusOK || got != s.body() || err != nil {
				t.Errorf("status %d, %v, body %q", status, err, got)
			}
		})
	}
}

// Guards against a request that stays at a worker that is lost although another one, which
// was full at first, has capacity again; and against events that are doubled or missing
// when it moves there.
func TestSilentWorkerIsReplaced(t *testing.T) {
	t.Parallel()
	for _, s := range silences {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			c := callMust(s.call)
			var offers atomic.Int64
			var served atomic.Bool
			keptUntilServed := false
			replaced := make(chan struct{})
			n := s.node(t, func(conn *net.TCPConn, _ string) {
				untilClosed(conn)
				keptUntilServed = served.Load()
				close(replaced)
			}, func(conn *net.TCPConn, req *http.Request) {
				if offers.Add(1) <= 3 { // more than there are other workers
					say(conn, refusal(s.call, http.StatusServiceUnavailable, 0))
					return
				}
				served.Store(true)
				whole, _ := s.response()
				if c.streamed() {
					whole = streamFrom(c, had(req))
				}
				begin := strings.Index(whole, "answer 200") + 1
				if c.streamed() {
					begin = strings.Index(whole, "\n\n\r\n") + 4
				}
				say(conn, whole[:begin])
				<-replaced
				say(conn, whole[begin:])
			})
			if status, got, err := n.ask(c); status != http.StatusOK || got != s.body() || err != nil {
				t.Errorf("status %d, %v, body %q", status, err, got)
			}
			if !keptUntilServed {
				t.Error("the silent worker was given up before another one served the request")
			}
		})
	}
}

// Guards against a worker that is kept at work for nothing, and against a doubled event,
// when the silent worker goes on while another one has the request too.
func TestSilentWorkerResumes(t *testing.T) {
	t.Parallel()
	for _, s := range silences {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			taken, dropped := make(chan struct{}), make(chan time.Time, 1)
			var once sync.Once
			n := s.node(t, func(conn *net.TCPConn, rest string) {
				<-taken
				say(conn, rest)
			}, func(conn *net.TCPConn, _ *http.Request) {
				once.Do(func() { close(taken) })
				untilClosed(conn)
				dropped <- time.Now()
			})
			status, got, err := n.ask(callMust(s.call))
			if status != http.StatusOK || got != s.body() || err != nil {
				t.Errorf("status %d, %v, body %q", status, err, got)
			}
			answered := time.Now()
			if after := (<-dropped).Sub(answered); after > 500*time.Millisecond {
				t.Errorf("the second worker was kept at work for %v", after)
			}
		})
	}
}

// Guards against a request that reaches more workers than its route's tries when each that
// takes it over falls silent too.
func TestSilentWorkersStayWithinTries(t *testing.T) {
	t.Parallel()
	c := callMust("resumable-4")
	var workers atomic.Int64
	var n *scriptedNode
	play := func(_ int, conn *net.TCPConn, br *bufio.Reader) {
		req, ok := read(br)
		if !ok {
			return
		}
		workers.Add(1)
		n.forwarder.Sender.Balancer.RecordUnreachable(req.Header.Get(HeaderWantWorker))
		stream := streamFrom(c, had(req))
		say(conn, stream[:strings.Index(stream, "\n\n\r\n")+4])
		untilClosed(conn)
	}
	n = newScriptedNode(t, 4000, play, play, play, play, play)
	_, got, err := n.ask(c)
	if err == nil {
		t.Error("the stream ended as complete")
	}
	if sent := workers.Load(); sent != hostileTries {
		t.Errorf("%d workers were sent the request, the route allows %d", sent, hostileTries)
	}
	if want := c.event(1) + c.event(2) + c.event(3); got != want {
		t.Errorf("events %q, want %q", got, want)
	}
}

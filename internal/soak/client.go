package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/forward"
	"rowanshunt/internal/simnet"
)

// platform knows which edge nodes take new connections, as the deployment's platform does:
// a node that misses two readiness checks is out until it passes one.
type platform struct {
	mu     sync.Mutex
	misses map[string]int // by address for clients
	nodes  []nodeSpec
}

const (
	readyPeriod   = time.Second
	missesUntilUp = 2
)

// watch checks the nodes until ctx ends.
func (p *platform) watch(ctx context.Context, edges func() []nodeSpec) {
	for ctx.Err() == nil {
		nodes := edges()
		var checks sync.WaitGroup
		for _, node := range nodes {
			checks.Go(func() {
				status, _ := call(ctx, http.MethodGet, "http://"+node.readyAddr()+"/-/readyz", nil, nil)
				p.mu.Lock()
				defer p.mu.Unlock()
				p.misses[node.name]++
				if status == http.StatusOK {
					p.misses[node.name] = 0
				}
			})
		}
		checks.Wait()
		p.mu.Lock()
		p.nodes = nodes
		p.mu.Unlock()
		clock.Sleep(ctx, readyPeriod)
	}
}

// pick chooses a node for a new connection; with less than half of the nodes in, any.
func (p *platform) pick(rng *rand.Rand) (nodeSpec, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var in []nodeSpec
	for _, node := range p.nodes {
		if p.misses[node.name] < missesUntilUp {
			in = append(in, node)
		}
	}
	if 2*len(in) < len(p.nodes) {
		in = p.nodes
	}
	if len(in) == 0 {
		return nodeSpec{}, false
	}
	return in[rng.IntN(len(in))], true
}

// client sends one request after the other. It keeps a connection until the node closes
// it, also while the node stops.
type client struct {
	number   int
	rng      *rand.Rand
	platform *platform
	record   *Record

	node   nodeSpec
	conn   net.Conn
	reader *bufio.Reader
	sent   int
}

const (
	maxThinkTime  = 150 * time.Millisecond
	longRest      = 3 * time.Second // a connection that has rested is taken up again
	longRestOneIn = 40
	dialTimeout   = time.Second
	clientMargin  = 1500 * clock.Millisecond // that clients wait beyond their time
	movedOneIn    = 8
	maxClientMs   = 4500
	minClientMs   = 3000
)

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			clock.Sleep(ctx, retryPause)
			continue
		}
		request := c.draw()
		c.exchange(&request)
		c.record.addRequest(request)
		if c.rng.IntN(longRestOneIn) == 0 {
			clock.Sleep(ctx, longRest)
		}
		clock.Sleep(ctx, time.Duration(c.rng.Int64N(int64(maxThinkTime))))
	}
}

func (c *client) connect() bool {
	node, ok := c.platform.pick(c.rng)
	if !ok {
		return false
	}
	conn, err := net.DialTimeout("tcp", node.httpAddr(), dialTimeout)
	if err != nil {
		return false
	}
	c.node, c.conn, c.reader = node, conn, bufio.NewReader(conn)
	return true
}

func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// draw is the next request.
func (c *client) draw() Request {
	c.sent++
	spec := clientRoutes[c.rng.IntN(len(clientRoutes))]
	id := fmt.Sprintf("c%d-%d", c.number, c.sent)
	target := spec.prefix() + id
	if c.rng.IntN(movedOneIn) == 0 {
		spec, target = routeSpec{Safe, 2}, movedPrefix+id
	}
	return Request{ID: id, Node: c.node.name, Target: target, Body: "prompt of " + id, Kind: spec.kind, Tries: spec.tries}
}

// exchange sends the request and reads its response.
func (c *client) exchange(request *Request) {
	leftMs := minClientMs + c.rng.IntN(maxClientMs-minClientMs)
	tokens := ""
	if request.Kind.Streams() {
		tokens = fmt.Sprintf("%s: 100,200\r\n%s: m\r\n", forward.HeaderTokens, "X-Rowanshunt-Model")
	}
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%sContent-Length: %d\r\n\r\n%s", request.Target, host,
		forward.HeaderRequestID, request.ID, forward.HeaderTimeLeft, leftMs, tokens, len(request.Body), request.Body)
	request.Sent = clock.Now()
	request.Deadline = request.Sent.Add(clock.Micros(leftMs) * clock.Millisecond)
	patient := &patientReader{conn: c.conn, until: request.Deadline.Add(clientMargin), patience: clientMargin + clock.Micros(leftMs)*clock.Millisecond}
	if request.Kind.Streams() {
		patient.patience = clientPatience
	}
	c.reader.Reset(patient)
	keep := false
	if _, err := io.WriteString(c.conn, text); err == nil {
		keep = c.read(request)
	}
	request.Ended = clock.Now()
	request.GaveUp = patient.gaveUp
	if !keep {
		c.disconnect()
	}
}

// read reads the response; false: the connection is not to be used again.
func (c *client) read(request *Request) (keep bool) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	request.Status = response.StatusCode
	request.Seal = response.Header.Get(forward.HeaderSeal)
	body, err := io.ReadAll(response.Body)
	request.Text = string(body)
	request.Complete = err == nil
	return err == nil && !response.Close
}

// patientReader reads from a connection and gives up after a silence, or at a moment.
type patientReader struct {
	conn     net.Conn
	until    clock.Instant
	patience clock.Micros
	gaveUp   bool
}

func (p *patientReader) Read(into []byte) (int, error) {
	wait := min(p.patience, p.until.Sub(clock.Now()))
	_ = p.conn.SetReadDeadline(time.Now().Add(max(wait, 0).Duration()))
	n, err := p.conn.Read(into)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		p.gaveUp = true
	}
	return n, err
}

// expectedEvents are the events of a request's stream up to event n, as workers send them.
func expectedEvents(id string, n int) string {
	var text strings.Builder
	for i := 1; i <= n; i++ {
		text.WriteString(eventText(id, i))
	}
	return text.String()
}

// expectedText is the body that a request must get in all.
func expectedText(kind RouteKind, id string) string {
	if kind.Streams() {
		return expectedEvents(id, eventsOf(id))
	}
	return answerPrefix + id
}

func eventText(id string, n int) string {
	return "id: " + strconv.Itoa(n) + "\ndata: " + simnet.EventData(id, n) + "\n\n"
}

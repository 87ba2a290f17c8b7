package forward

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/discovery"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/rpc"
)

// Times of connections (design 6.4).
const (
	// dialTimeout leaves time for another worker within the least latency target.
	dialTimeout = 350 * time.Millisecond
	// maxIdleTime is how long a connection rests where the worker names no time.
	maxIdleTime = 20 * clock.Second
	// keepAliveMargin, with a factor of 7/10, is taken off the time that a worker
	// names: its clock started when it sent the response.
	keepAliveMargin = 100 * clock.Millisecond
)

// Dial opens a connection to a worker; tests put a simulated network in its place.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// DialTCP dials real sockets.
func DialTCP() Dial {
	dialer := rpc.Dialer(dialTimeout)
	return func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
}

// ConnPool owns this node's connections to workers. A short critical section guards
// its table (design 1.5); connections are closed and dialed outside of it.
type ConnPool struct {
	dial Dial

	mu       sync.Mutex
	byWorker map[string]*workerConns // by the worker's id
}

// workerConns are the connections to one worker.
type workerConns struct {
	idle []*Conn // the one used last is at the end
	open int     // idle, in use, and being dialed; above 0 Sweep keeps the entry
}

// NewConnPool makes an empty pool.
func NewConnPool(dial Dial) *ConnPool {
	return &ConnPool{byWorker: map[string]*workerConns{}, dial: dial}
}

// Get gives a connection to the worker: an idle one that was used within maxIdle if
// there is one, else a new one, as long as fewer than maxOpen are open. A worker may
// forget an idle connection and say nothing; what is sent on it next is lost. A
// connection whose last request had the same id is not used: a surplus response to
// that one could not be told from the next (design 6.4). Its faults promise that
// nothing was sent.
func (c *ConnPool) Get(ctx context.Context, worker *discovery.Worker, requestID string, maxOpen int, maxIdle clock.Micros) (*Conn, error) {
	now := clock.Now()
	for {
		conn, evicted, err := c.reserve(worker.ID, maxOpen, now, maxIdle)
		if err != nil {
			return nil, err
		}
		if evicted != nil {
			_ = evicted.conn.Close()
		}
		if conn == nil {
			break
		}
		if conn.expires > now && conn.lastRequestID != requestID && conn.isIntact() {
			conn.reused, conn.lastRequestID = true, requestID
			return conn, nil
		}
		c.Drop(conn)
	}
	raw, err := c.dial(ctx, worker.Addr)
	if err != nil {
		c.mu.Lock()
		c.byWorker[worker.ID].open--
		c.mu.Unlock()
		return nil, fault.New(fault.Unreached, worker.ID, err.Error(), "look whether the worker runs")
	}
	conn := newConn(raw, worker.ID)
	conn.lastRequestID = requestID
	return conn, nil
}

// reserve takes an idle connection or, with idle nil, reserves the place of a new one,
// which Drop or a failed dial frees: within the bound, or that of evicted, the connection
// that has been idle longest, which the caller closes.
func (c *ConnPool) reserve(worker string, maxOpen int, now clock.Instant, maxIdle clock.Micros) (idle, evicted *Conn, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.byWorker[worker]
	if conns == nil {
		conns = &workerConns{}
		c.byWorker[worker] = conns
	}
	last := len(conns.idle) - 1
	switch {
	case last >= 0 && now.Sub(conns.idle[last].idleSince) <= maxIdle:
		idle = conns.idle[last]
		conns.idle = conns.idle[:last]
		return idle, nil, nil
	case conns.open < maxOpen:
		conns.open++
		return nil, nil, nil
	case last >= 0:
		evicted = conns.idle[0]
		conns.idle = conns.idle[1:]
		return nil, evicted, nil
	}
	return nil, nil, fault.New(fault.Conflict, worker, "this node's share of connections is in use", "try another worker")
}

// Put gives a connection back after a complete response.
func (c *ConnPool) Put(conn *Conn, response *http.Response) {
	keep := maxIdleTime
	if seconds, ok := keepAliveSeconds(response.Header.Get("Keep-Alive")); ok {
		keep = clock.Micros(seconds)*clock.Second*7/10 - keepAliveMargin
	}
	if response.Close || keep <= 0 || conn.reader.Buffered() > 0 {
		c.Drop(conn)
		return
	}
	_ = conn.conn.SetDeadline(time.Time{})
	conn.idleSince = clock.Now()
	conn.expires = conn.idleSince.Add(keep)
	c.addIdle(conn, func(idle []*Conn) []*Conn { return append(idle, conn) })
}

// PutUnused gives a connection back on which nothing was sent: to the worker it has
// been idle all the time.
func (c *ConnPool) PutUnused(conn *Conn) {
	_ = conn.conn.SetDeadline(time.Time{})
	conn.lastRequestID = ""
	c.addIdle(conn, func(idle []*Conn) []*Conn { return slices.Insert(idle, 0, conn) })
}

// addIdle puts a connection among the idle ones, also if its worker is gone: Sweep closes
// it then. It closes one whose worker has no entry, which no connection that counts as
// open meets.
func (c *ConnPool) addIdle(conn *Conn, add func(idle []*Conn) []*Conn) {
	c.mu.Lock()
	conns := c.byWorker[conn.worker]
	if conns != nil {
		conns.idle = add(conns.idle)
	}
	c.mu.Unlock()
	if conns == nil {
		_ = conn.conn.Close()
	}
}

// keepAliveSeconds reads a Keep-Alive header's time-out.
func keepAliveSeconds(header string) (int64, bool) {
	for _, part := range strings.Split(header, ",") {
		part = strings.TrimSpace(part)
		if value, ok := strings.CutPrefix(part, "timeout="); ok {
			part = value
		}
		if seconds, err := strconv.ParseInt(part, 10, 32); err == nil && seconds >= 0 {
			return seconds, true
		}
	}
	return 0, false
}

// Drop closes a connection that is in use.
func (c *ConnPool) Drop(conn *Conn) {
	_ = conn.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if conns := c.byWorker[conn.worker]; conns != nil {
		conns.open--
	}
}

// CloseIdle closes the idle connections of a worker that forgot one of them.
func (c *ConnPool) CloseIdle(worker string) {
	var closing []*Conn
	c.mu.Lock()
	if conns := c.byWorker[worker]; conns != nil {
		closing = conns.idle
		conns.idle = nil
		conns.open -= len(closing)
	}
	c.mu.Unlock()
	closeAll(closing)
}

// Sweep closes idle connections that are past their time or whose worker is gone.
func (c *ConnPool) Sweep(directory *discovery.Directory) {
	now := clock.Now()
	var closing []*Conn
	c.mu.Lock()
	for id, conns := range c.byWorker {
		gone := directory.ByID[id] == nil
		before := len(conns.idle)
		conns.idle = slices.DeleteFunc(conns.idle, func(conn *Conn) bool {
			if conn.expires > now && !gone {
				return false
			}
			closing = append(closing, conn)
			return true
		})
		conns.open -= before - len(conns.idle)
		if conns.open <= 0 && gone {
			delete(c.byWorker, id)
		}
	}
	c.mu.Unlock()
	closeAll(closing)
}

// CloseAll closes every idle connection.
func (c *ConnPool) CloseAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conns := range c.byWorker {
		closeAll(conns.idle)
		conns.open -= len(conns.idle)
		conns.idle = nil
	}
}

func closeAll(conns []*Conn) {
	for _, conn := range conns {
		_ = conn.conn.Close()
	}
}

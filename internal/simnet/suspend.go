package simnet

import (
	"context"
	"net"
)

// suspensions are the processes that stand still, by address, and what tests watch
// their calls with.
type suspensions struct {
	resumed map[string]chan struct{} // closed when the process goes on
	onCall  func(Call)
}

// Call is a peer call that is about to go out, or a connection about to be opened.
type Call struct {
	From, To, Kind string
	Body           any // nil for a connection
}

// Dial is the kind of a connection about to be opened.
const Dial = "dial"

// Suspend stops the process at an address until Resume, as far as it goes through the
// network or waits in AwaitRunning: its calls and connections neither go out nor
// return, not even by their time limits, and calls to it wait. Its steady clock goes
// on. A call whose answer came meanwhile returns it afterwards, however late.
func (m *Network) Suspend(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.suspended.resumed[addr] == nil {
		m.suspended.resumed[addr] = make(chan struct{})
	}
}

// Resume lets a suspended process go on.
func (m *Network) Resume(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if resumed := m.suspended.resumed[addr]; resumed != nil {
		close(resumed)
		delete(m.suspended.resumed, addr)
	}
}

// AwaitRunning returns once the process at an address is not suspended. Tests call it
// where goroutines of a node would go on without the network.
func (m *Network) AwaitRunning(addr string) {
	for {
		m.mu.Lock()
		resumed := m.suspended.resumed[addr]
		m.mu.Unlock()
		if resumed == nil {
			return
		}
		<-resumed
	}
}

// OnCall has fn called before each call goes out; it may suspend the caller.
func (m *Network) OnCall(fn func(Call)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspended.onCall = fn
}

func (m *Network) beforeCall(call Call) {
	m.mu.Lock()
	fn := m.suspended.onCall
	m.mu.Unlock()
	if fn != nil {
		fn(call)
	}
	m.AwaitRunning(call.From)
}

// whileRunning ends when ctx does, but not while the process is suspended.
func (m *Network) whileRunning(ctx context.Context, addr string) (context.Context, func()) {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		m.AwaitRunning(addr)
		cancel()
	})
	return running, func() { stop(); cancel() }
}

// processConn is a connection of a process that may be suspended.
type processConn struct {
	net.Conn
	m    *Network
	addr string
}

// Read implements net.Conn.
func (c *processConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.m.AwaitRunning(c.addr)
	return n, err
}

// Write implements net.Conn.
func (c *processConn) Write(p []byte) (int, error) {
	c.m.AwaitRunning(c.addr)
	return c.Conn.Write(p)
}

package forward

import (
	"bufio"
	"math"
	"net"

	"golang.org/x/sys/unix"

	"rowanshunt/internal/clock"
)

// Conn is one connection to one incarnation of a worker. It carries one request at a
// time and belongs to the goroutine that took it from the pool.
type Conn struct {
	conn          net.Conn
	reader        *bufio.Reader
	writer        *bufio.Writer
	limited       *headerReader // what reader reads from
	worker        string
	reused        bool
	lastRequestID string        // of the request sent before
	expires       clock.Instant // not used from then on
	idleSince     clock.Instant // when it was last returned to the pool
}

// connBufferBytes holds most headers and events; larger ones are read in pieces.
const connBufferBytes = 2 << 10

func newConn(conn net.Conn, worker string) *Conn {
	limited := &headerReader{conn: conn, remaining: math.MaxInt}
	now := clock.Now()
	return &Conn{
		conn:      conn,
		reader:    bufio.NewReaderSize(limited, connBufferBytes),
		writer:    bufio.NewWriterSize(conn, connBufferBytes),
		limited:   limited,
		worker:    worker,
		expires:   now.Add(maxIdleTime),
		idleSince: now,
	}
}

// isIntact tells that the other end has neither closed nor sent bytes that nobody
// asked for.
func (c *Conn) isIntact() bool { return c.reader.Buffered() == 0 && isIntactTCP(c.conn) }

// isIntactTCP looks at the socket without waiting and without taking bytes from it.
func isIntactTCP(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var peeked [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, recvErr := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		// The two are one number here and two elsewhere.
		quiet = n <= 0 && (recvErr == unix.EAGAIN || recvErr == unix.EWOULDBLOCK) //nolint:errorlint // a bare errno
		return true
	})
	return err == nil && quiet
}

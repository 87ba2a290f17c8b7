package rpc

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"rowanshunt/internal/clock"
)

// userTimeout is how long sent bytes may stay unacknowledged by the other end's
// kernel before the connection is broken, and how long one write may block. It lets
// TCP send a lost segment again a few times, and ends the calls on a connection to a
// host that is gone long before the kernel's own limit of some 15 minutes would.
const userTimeout = 1_500 * clock.Millisecond

// Dialer makes connections whose silent other end is noticed (design 2.4).
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:   timeout,
		KeepAlive: -1, // each call has a time-out of its own; idle connections cost nothing
		Control: func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c)
		},
	}
}

func setUserTimeout(c syscall.RawConn) error {
	var optionErr error
	if err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); err != nil {
		return err
	}
	return optionErr
}

package dialer

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which the
	// syscall package doesn't define on all architectures.
	tcpUserTimeout = 18
	// unacknowledgedTimeout closes a connection whose peer doesn't acknowledge
	// the data sent. Without it, a network path that drops all packets is
	// noticed only at the request limit, since the kernel retransmits for about
	// 15 minutes.
	unacknowledgedTimeout = 3 * time.Second
)

// tcpDialer enables TCP keep-alive, which detects a lost peer while a long
// answer is awaited.
var tcpDialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3},
	Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		failed := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedTimeout.Milliseconds()))
		})
		if failed != nil {
			return failed
		}
		return err
	},
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return tcpDialer.DialContext(ctx, "tcp", address)
}

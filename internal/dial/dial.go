// Package dial opens and accepts TCP connections that detect an unresponsive
// peer or a broken network path within about two seconds.
package dial

import (
	"context"
	"net"
	"time"
)

// A connection fails after about two seconds without an acknowledgement from its
// peer.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	tcpUserTimeout    = 2 * time.Second
)

var dialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	},
	Control: setUserTimeout,
}

// TCP opens a connection to IP:port. The connection fails after about two
// seconds without an acknowledgement from its peer.
func TCP(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", address)
}

// Context is TCP with the signature of http.Transport.DialContext. It ignores the
// network.
func Context(ctx context.Context, _, address string) (net.Conn, error) {
	return TCP(ctx, address)
}

// Listen listens on IP:port. The accepted connections fail like those of TCP
// after about two seconds without an acknowledgement from their peer.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: dialer.KeepAliveConfig, Control: setUserTimeout}
	return lc.Listen(ctx, "tcp", address)
}

// Package dial opens and accepts TCP connections that notice when the other end, or
// something between, has lost track of them.
package dial

import (
	"context"
	"net"
	"time"
)

// A peer that acknowledges nothing is given up after about two seconds.
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

// TCP opens a connection to IP:port. One whose peer acknowledges nothing for
// about two seconds fails.
func TCP(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", address)
}

// Context is TCP in the form of net/http.
func Context(ctx context.Context, _, address string) (net.Conn, error) {
	return TCP(ctx, address)
}

// Listen accepts TCP connections that notice as much as those of TCP do.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: dialer.KeepAliveConfig, Control: setUserTimeout}
	return lc.Listen(ctx, "tcp", address)
}

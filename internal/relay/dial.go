package relay

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

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", address)
}

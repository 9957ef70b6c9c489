// Package ports hands out loopback addresses for processes that a test starts
// and whose settings need the address in advance.
package ports

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

const (
	firstPort = 10_000
	portCount = 50_000
)

var (
	taken atomic.Int64

	errNoPort = errors.New("no free port")
)

// FreeAddress returns an IP:port on which nothing is listening, and returns each
// address only once. Its IP is a loopback address that depends on the process
// ID and is never 127.0.0.1, from which outgoing connections come, so that
// neither a connection nor another test process takes the port before the
// started process listens. It returns an error if no port is left.
func FreeAddress() (string, error) {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(1+pid>>16%254), byte(pid>>8), byte(pid))
	for at := taken.Add(1); at <= portCount; at = taken.Add(1) {
		address := net.JoinHostPort(ip.String(), strconv.FormatInt(firstPort-1+at, 10))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, ln.Close()
	}
	return "", errNoPort
}

package ports_test

import (
	"net"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/fakes/ports"
)

// TestOutgoingConnectionsTakeNoAddress guards against addresses that an outgoing
// connection, from any of its source ports, can hold before the started process
// listens.
func TestOutgoingConnectionsTakeNoAddress(t *testing.T) {
	is := is.New(t)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer server.Close()
	address, err := ports.FreeAddress()
	is.NoErr(err)
	_, port, err := net.SplitHostPort(address)
	is.NoErr(err)
	number, err := strconv.Atoi(port)
	is.NoErr(err)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: number}}
	conn, err := dialer.Dial("tcp", server.Addr().String())
	is.NoErr(err)
	defer conn.Close()

	ln, err := net.Listen("tcp", address)
	is.NoErr(err)
	is.NoErr(ln.Close())
}

// TestAddressesDiffer guards against two processes that get the same address
// because neither listens yet.
func TestAddressesDiffer(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for range 1000 {
		address, err := ports.FreeAddress()
		is.NoErr(err)
		is.True(!seen[address])
		seen[address] = true
	}
}

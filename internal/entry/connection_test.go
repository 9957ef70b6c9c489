package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// TestConnectionOutlivesDeadline guards against a deadline of one request that
// stays set on the connection: it sends a second request on the same connection
// after the deadline of the first one.
func TestConnectionOutlivesDeadline(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 1, nil)
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(in httptrace.GotConnInfo) { reused = in.Reused }}
	for _, size := range []int{200000, 10} { // the first response is streamed
		rq, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodGet, th.url+"/v1/services/orders/", nil)
		is.NoErr(err)
		rq.Header.Set(client.HeaderWorkspace, "parish")
		rq.Header.Set(client.HeaderTimeout, "400ms")
		rq.Header.Set(epsim.HeaderSize, strconv.Itoa(size))
		rs, err := tr.RoundTrip(rq)
		is.NoErr(err)
		n, err := io.Copy(io.Discard, rs.Body)
		is.NoErr(err)
		is.NoErr(rs.Body.Close())
		is.Equal(n, int64(size))
		time.Sleep(500 * time.Millisecond)
	}
	is.True(reused)
}

// TestRefusalOfExpectedBody checks that a refused request with Expect:
// 100-continue is neither asked for its body nor kept waiting for it.
func TestRefusalOfExpectedBody(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 1, nil)
	cn, err := net.Dial("tcp", th.url[len("http://"):])
	is.NoErr(err)
	defer cn.Close()
	is.NoErr(cn.SetDeadline(time.Now().Add(5 * time.Second)))
	_, err = fmt.Fprintf(cn, "POST /v1/services/none/ HTTP/1.1\r\nHost: x\r\n%s: parish\r\nExpect: 100-continue\r\nContent-Length: 100\r\n\r\n", client.HeaderWorkspace)
	is.NoErr(err)
	rd := bufio.NewReader(cn)
	rs, err := http.ReadResponse(rd, nil)
	is.NoErr(err)
	is.Equal(rs.StatusCode, codes.UnknownService.Info().HTTPStatus)
	_, err = io.Copy(io.Discard, rs.Body)
	is.NoErr(err)
	rest, err := io.ReadAll(rd) // the host closes the connection
	is.NoErr(err)
	is.Equal(string(rest), "")
}

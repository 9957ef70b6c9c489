package entry_test

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
	"github.com/cicadawharf/cicadawharf/pkg/client"
)

// TestConnectionOutlivesDeadline sends a second request on a caller's
// connection after the deadline of the first one.
func TestConnectionOutlivesDeadline(t *testing.T) {
	is := is.New(t)
	be := newBench(t, 1, nil)
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(in httptrace.GotConnInfo) { reused = in.Reused }}
	for _, size := range []int{200000, 10} { // the first answer is streamed
		rq, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodGet, be.url+"/v1/services/orders/", nil)
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

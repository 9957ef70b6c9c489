package client_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// recordedRequest is a request as received by a test server.
type recordedRequest struct {
	method, uri, body string
	header            http.Header
}

// serve starts a server that gives every request the same response. It returns
// a client of the server and a record of the last request received.
func serve(t *testing.T, status int, header map[string]string, body string) (*client.Client, *recordedRequest) {
	t.Helper()
	rr := &recordedRequest{}
	sv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		data, _ := io.ReadAll(rq.Body)
		*rr = recordedRequest{method: rq.Method, uri: rq.RequestURI, body: string(data), header: rq.Header}
		for key, value := range header {
			rw.Header().Set(key, value)
		}
		rw.WriteHeader(status)
		_, _ = io.WriteString(rw, body)
	}))
	t.Cleanup(sv.Close)
	return newClient(t, sv.Listener.Addr().String()), rr
}

func newClient(t *testing.T, addresses ...string) *client.Client {
	t.Helper()
	cl := client.New(client.Config{Addresses: addresses, Workspace: "ws", Caller: "me", Operator: "op"})
	t.Cleanup(cl.Close)
	return cl
}

// TestSubmitSendsHeadersAndBody guards against a job that is submitted without its
// idempotency key, its workspace or a part of its body.
func TestSubmitSendsHeadersAndBody(t *testing.T) {
	is := is.New(t)
	cl, rr := serve(t, 202, nil, `{"code":1000,"name":"jobAccepted","class":"inProgress","id":"z.1","state":"queued"}`)
	yes := true
	jb, err := cl.Submit(t.Context(), client.SubmitRequest{
		Shape: spec.Shape{Tasks: 2, Accelerators: 8, Adjacency: spec.SameRack}, RunTime: "1h", Repeatable: &yes, Command: []string{"run"},
	}, "k1")
	is.NoErr(err)
	is.Equal(jb.ID, "z.1")
	is.Equal(jb.Code, codes.JobAccepted)
	is.Equal(rr.method+" "+rr.uri, "POST /v1/jobs")
	is.Equal(rr.header.Get(client.HeaderKey), "k1")
	is.Equal(rr.header.Get(client.HeaderWorkspace), "ws")
	is.Equal(rr.header.Get(client.HeaderCaller), "me")
	var req client.SubmitRequest
	is.NoErr(json.Unmarshal([]byte(rr.body), &req))
	is.Equal(req.Shape.Tasks, 2)
}

// TestPaths guards against a method, path or query other than those of the API,
// and against path elements that are not escaped.
func TestPaths(t *testing.T) {
	for name, tc := range map[string]struct {
		do   func(ctx context.Context, cl *client.Client) error
		want string
	}{
		"job": {func(ctx context.Context, cl *client.Client) error {
			_, err := cl.Job(ctx, "z.a/b", 30*time.Second)
			return err
		}, "GET /v1/jobs/z.a%2Fb?wait=30s"},
		"jobs": {func(ctx context.Context, cl *client.Client) error {
			_, err := cl.Jobs(ctx, client.JobFilter{Workspace: "w", Active: true})
			return err
		}, "GET /v1/jobs?active=true&workspace=w"},
		"cancel": {func(ctx context.Context, cl *client.Client) error {
			_, err := cl.Cancel(ctx, "z.1")
			return err
		}, "DELETE /v1/jobs/z.1"},
		"apply": {func(ctx context.Context, cl *client.Client) error {
			_, err := cl.Apply(ctx, []byte("a"), 7, 10*time.Second)
			return err
		}, "PUT /v1/declarations?expect=7&wait=10s"},
		"apply any": {func(ctx context.Context, cl *client.Client) error {
			_, err := cl.Apply(ctx, []byte("a"), client.AnyRevision, 0)
			return err
		}, "PUT /v1/declarations"},
		"check": {func(ctx context.Context, cl *client.Client) error {
			_, err := cl.Check(ctx, []byte("a"))
			return err
		}, "POST /v1/declarations/check"},
		"declarations": {func(ctx context.Context, cl *client.Client) error {
			inf, err := cl.Declarations(ctx)
			if inf.Revision != 9 {
				return errors.New("wrong revision")
			}
			return err
		}, "GET /v1/declarations"},
		"status": {func(ctx context.Context, cl *client.Client) error {
			_, err := cl.Status(ctx)
			return err
		}, "GET /v1/status"},
		"report": {func(ctx context.Context, cl *client.Client) error {
			_, err := cl.Report(ctx, "2026-12-04", true)
			return err
		}, "GET /v1/report?day=2026-12-04"},
		"call": {func(ctx context.Context, cl *client.Client) error {
			_, err := cl.Call(ctx, "s", "PATCH", "/a%20b?x=1", nil, client.CallOptions{})
			return err
		}, "PATCH /v1/services/s/a%20b?x=1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl, rr := serve(t, 200, map[string]string{client.HeaderRevision: "9", client.HeaderCode: "2000"}, `{}`)
			is.NoErr(tc.do(t.Context(), cl))
			is.Equal(rr.method+" "+rr.uri, tc.want)
		})
	}
}

// TestSubmitErrors guards against a response without a valid result that is taken
// for an accepted job, and against errors that lose their retry-after time.
func TestSubmitErrors(t *testing.T) {
	for name, tc := range map[string]struct {
		status int
		header map[string]string
		body   string
		code   codes.Code
		retry  time.Duration
	}{
		"code in the body":       {429, nil, `{"code":4008,"detail":"d","retryAfterMillis":1500}`, codes.Overloaded, 1500 * time.Millisecond},
		"code in the headers":    {429, map[string]string{client.HeaderCode: "4008", client.HeaderRetryAfter: "250"}, "", codes.Overloaded, 250 * time.Millisecond},
		"retry-after in seconds": {503, map[string]string{client.HeaderCode: "4009", "Retry-After": "2"}, "", codes.NoEndpoint, 2 * time.Second},
		"no code":                {502, nil, "<html>", codes.SubmitUnknown, 0},
		"malformed success":      {202, nil, "<html>", codes.SubmitUnknown, 0},
		"redirect not followed":  {307, map[string]string{"Location": "/v1/jobs"}, "", codes.SubmitUnknown, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl, _ := serve(t, tc.status, tc.header, tc.body)
			_, err := cl.Submit(t.Context(), client.SubmitRequest{}, "k")
			var ce *codes.Error
			is.True(errors.As(err, &ce))
			is.Equal(ce.Code, tc.code)
			is.Equal(ce.RetryAfter, tc.retry)
		})
	}
}

// TestCallReturnsEndpointResponse guards against a server error of the endpoint
// that is returned as an error of the call, and against options that are not
// sent.
func TestCallReturnsEndpointResponse(t *testing.T) {
	is := is.New(t)
	cl, rr := serve(t, 500, map[string]string{client.HeaderCode: "3000", client.HeaderRequest: "r1"}, "oops")
	no := false
	cr, err := cl.Call(t.Context(), "s", "POST", "p", []byte("b"), client.CallOptions{
		Repeatable: &no, Timeout: 2 * time.Second, Priority: "urgent", Key: "k", Header: http.Header{"X-A": {"1"}},
	})
	is.NoErr(err)
	is.Equal(cr.Code, codes.EndpointError)
	is.Equal(cr.Status, 500)
	is.Equal(string(cr.Body), "oops")
	is.Equal(cr.Request, "r1")
	is.Equal(rr.header.Get(client.HeaderRepeatable), "false")
	is.Equal(rr.header.Get(client.HeaderTimeout), "2s")
	is.Equal(rr.header.Get(client.HeaderPriority), "urgent")
	is.Equal(rr.header.Get("X-A"), "1")
}

// TestApplyReturnsFaultsWithError guards against a refusal that does not tell the
// operator what is wrong with the declarations.
func TestApplyReturnsFaultsWithError(t *testing.T) {
	is := is.New(t)
	cl, _ := serve(t, 422, nil, `{"code":4023,"revision":4,"faults":[{"line":2,"column":3,"message":"m"}]}`)
	ap, err := cl.Apply(t.Context(), nil, 4, 0)
	is.Equal(codes.Of(err).Code, codes.InvalidDeclaration)
	is.Equal(ap.Revision, int64(4))
	is.Equal(ap.Faults, []client.Fault{{Line: 2, Column: 3, Message: "m"}})
}

// rawServer starts a server that writes fn(n) in response to its n-th request,
// counted over all connections. The server closes the connection after an empty
// response or one with "Connection: close". rawServer returns the address of the
// server and its request count.
func rawServer(t *testing.T, fn func(n int64) string) (string, *atomic.Int64) {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ls.Close() })
	count := &atomic.Int64{}
	go func() {
		for {
			cn, err := ls.Accept()
			if err != nil {
				return
			}
			go func() {
				defer cn.Close()
				rd := bufio.NewReader(cn)
				for {
					rq, err := http.ReadRequest(rd)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, rq.Body)
					response := fn(count.Add(1))
					if _, err := io.WriteString(cn, response); err != nil || response == "" || strings.Contains(response, "Connection: close") {
						return
					}
				}
			}()
		}
	}()
	return ls.Addr().String(), count
}

const completeResponse = "HTTP/1.1 200 OK\r\nCicadawharf-Code: 2000\r\nContent-Length: 2\r\n\r\n{}"

func respondOnce(n int64) string {
	if n == 1 {
		return completeResponse
	}
	return ""
}

// TestNetHTTPRepeatsRequestWithKey documents why the client does not reuse
// connections for requests that must not run twice: a transport of net/http
// retries a request with an idempotency key when a reused connection fails.
func TestNetHTTPRepeatsRequestWithKey(t *testing.T) {
	is := is.New(t)
	address, count := rawServer(t, respondOnce)
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	for range 2 {
		req, err := http.NewRequest("POST", "http://"+address, strings.NewReader("b"))
		is.NoErr(err)
		req.Header.Set("Idempotency-Key", "k")
		rs, err := (&http.Client{Transport: tr}).Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, rs.Body)
			rs.Body.Close()
		}
	}
	is.Equal(count.Load(), int64(3)) // the second request was sent twice
}

// TestNonRepeatableRequestIsSentOnce guards against a request that runs twice:
// its connection is closed without a response, and the client must neither
// resend it nor send it to another host.
func TestNonRepeatableRequestIsSentOnce(t *testing.T) {
	for name, do := range map[string]func(ctx context.Context, cl *client.Client) error{
		"call": func(ctx context.Context, cl *client.Client) error {
			_, err := cl.Call(ctx, "s", "POST", "p", []byte("b"), client.CallOptions{Key: "k"})
			return err
		},
		"call without body": func(ctx context.Context, cl *client.Client) error {
			_, err := cl.Call(ctx, "s", "GET", "p", nil, client.CallOptions{Key: "k"})
			return err
		},
		"submit": func(ctx context.Context, cl *client.Client) error {
			_, err := cl.Submit(ctx, client.SubmitRequest{}, "k")
			return err
		},
		"apply": func(ctx context.Context, cl *client.Client) error {
			_, err := cl.Apply(ctx, []byte("b"), 1, 0)
			return err
		},
		"cancel": func(ctx context.Context, cl *client.Client) error {
			_, err := cl.Cancel(ctx, "z.1")
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, count := rawServer(t, respondOnce)
			cl := newClient(t, address, address)
			is.NoErr(do(t.Context(), cl))
			err := do(t.Context(), cl)
			is.Equal(codes.Of(err).Code.Class(), codes.Unknown)
			is.Equal(count.Load(), int64(2))
		})
	}
}

// TestTruncatedResponse guards against the result code of a truncated response
// being returned as if the response were complete.
func TestTruncatedResponse(t *testing.T) {
	is := is.New(t)
	address, _ := rawServer(t, func(int64) string {
		return "HTTP/1.1 200 OK\r\nCicadawharf-Code: 2000\r\nContent-Length: 9\r\nConnection: close\r\n\r\npart"
	})
	cl := newClient(t, address)
	_, err := cl.Call(t.Context(), "s", "POST", "p", nil, client.CallOptions{})
	is.Equal(codes.Of(err).Code, codes.AnswerBroken)
	_, err = cl.Submit(t.Context(), client.SubmitRequest{}, "")
	is.Equal(codes.Of(err).Code, codes.SubmitUnknown)
}

// TestFailoverOnlyIfNotRun guards against a request that is sent to another host
// although it may have run at the previous one.
func TestFailoverOnlyIfNotRun(t *testing.T) {
	is := is.New(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	refusing := closed.Addr().String()
	closed.Close()
	stopping, rejected := rawServer(t, func(int64) string {
		return "HTTP/1.1 503 Service Unavailable\r\nCicadawharf-Code: 4013\r\nContent-Length: 0\r\n\r\n"
	})
	live, served := rawServer(t, func(int64) string { return completeResponse })

	cl := newClient(t, refusing, stopping, live)
	_, err = cl.Call(t.Context(), "s", "POST", "p", nil, client.CallOptions{})
	is.NoErr(err)
	is.Equal([2]int64{rejected.Load(), served.Load()}, [2]int64{1, 1})

	_, err = newClient(t, refusing, stopping, refusing).Submit(t.Context(), client.SubmitRequest{}, "")
	is.Equal(codes.Of(err).Code, codes.Stopping)

	_, err = newClient(t, refusing).Submit(t.Context(), client.SubmitRequest{}, "")
	var ue *client.UnreachableError
	is.True(errors.As(err, &ue))

	closing, _ := rawServer(t, func(int64) string { return "" })
	_, err = newClient(t, closing, live).Status(t.Context())
	is.NoErr(err) // a read-only request fails over after a lost response
	_, err = newClient(t, closing, live).Cancel(t.Context(), "z.1")
	is.Equal(codes.Of(err).Code, codes.CancelUnknown)
}

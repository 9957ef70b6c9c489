package kvsim_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
)

// post returns the status and the body of the response, or zero and the error if
// there was none.
func post(t *testing.T, sv *kvsim.Server, path, body string) (int, string) {
	t.Helper()
	res, err := http.Post("http://"+sv.Addr()+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, strings.TrimSpace(string(data))
}

// TestMessagesMatchGateway checks the JSON against the published protocol.
// Client and simulator share their message types, so a mistake in these would
// otherwise go unnoticed. In base64, Zm9v is foo and YmFy is bar.
func TestMessagesMatchGateway(t *testing.T) {
	sv := kvsim.Start(t, kvsim.Config{})
	tests := []struct {
		path, request string
		status        int
		response      string
	}{
		{"/v3/kv/range", `{"key":"Zm9v"}`, 200, `{"header":{"revision":"1"}}`},
		{
			"/v3/kv/txn",
			`{"compare":[{"key":"Zm9v","target":"MOD","result":"EQUAL","mod_revision":"0"}],
			  "success":[{"request_put":{"key":"Zm9v","value":"YmFy"}}],"failure":[{"request_range":{"key":"Zm9v"}}]}`,
			200,
			`{"header":{"revision":"2"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"2"}}}]}`,
		},
		{
			"/v3/kv/range", `{"key":"Zm8=","range_end":"Zm9w"}`, 200,
			`{"header":{"revision":"2"},"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1","value":"YmFy"}],"count":"1"}`,
		},
		{"/v3/lease/grant", `{"TTL":"10","ID":"77"}`, 200, `{"header":{"revision":"2"},"ID":"77","TTL":"10"}`},
		{"/v3/lease/keepalive", `{"ID":"77"}`, 200, `{"result":{"header":{"revision":"2"},"ID":"77","TTL":"10"}}`},
		{"/v3/kv/lease/revoke", `{"ID":"77"}`, 200, `{"header":{"revision":"2"}}`},
		{"/v3/lease/revoke", `{"ID":"77"}`, 404, `{"code":5,"message":"etcdserver: requested lease not found"}`},
		{"/v3/lease/keepalive", `{"ID":"77"}`, 200, `{"result":{"header":{"revision":"2"},"ID":"77"}}`},
	}
	for _, tt := range tests {
		is := is.New(t)
		status, response := post(t, sv, tt.path, tt.request)
		is.Equal(status, tt.status)
		is.Equal(response, tt.response)
	}
}

func TestFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	sv := kvsim.Start(t, kvsim.Config{})
	sv.Put("foo", []byte("old"))
	status, _ := post(t, sv, "/standin/snapshot", "")
	is.Equal(status, 200)
	sv.Put("foo", []byte("new"))

	status, _ = post(t, sv, "/standin/faults", `{"down":true}`)
	is.Equal(status, 200)
	status, _ = post(t, sv, "/v3/kv/range", `{"key":"Zm9v"}`)
	is.Equal(status, 0) // the connection was dropped
	status, _ = post(t, sv, "/standin/faults", `{}`)
	is.Equal(status, 200)
	status, _ = post(t, sv, "/standin/restore", "")
	is.Equal(status, 200)
	value, _ := sv.Value("foo")
	is.Equal(string(value), "old")
	status, _ = post(t, sv, "/standin/faults", `{"down":`)
	is.Equal(status, 400)
	is.Equal(sv.Calls(), kvsim.Calls{Range: 1})
}

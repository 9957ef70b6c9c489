package entry_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/entry"
	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

const goodJob = `{"zone":"lima","shape":{"tasks":4,"accelerators":8,"adjacency":"rack"},"runTime":"45m","repeatable":true,"command":["sort"]}`

// TestSubmitJob submits a job, submits it again and a different one under the same
// idempotency key, and then queries, cancels and lists it.
func TestSubmitJob(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 0, nil)
	re, err := th.call(http.MethodPost, "/v1/jobs", goodJob, client.HeaderKey, "j1")
	is.NoErr(err)
	is.Equal(re.code, codes.JobAccepted)
	var jb client.Job
	is.NoErr(json.Unmarshal([]byte(re.body), &jb))
	is.Equal(jb.Zone, "lima")
	is.Equal(jb.State, "queued")

	again, err := th.call(http.MethodPost, "/v1/jobs", goodJob, client.HeaderKey, "j1")
	is.NoErr(err)
	var same client.Job
	is.NoErr(json.Unmarshal([]byte(again.body), &same))
	is.Equal(same.ID, jb.ID)

	other := `{"zone":"lima","shape":{"tasks":1,"accelerators":8,"adjacency":"rack"},"runTime":"45m","repeatable":true,"command":["sort"]}`
	re, err = th.call(http.MethodPost, "/v1/jobs", other, client.HeaderKey, "j1")
	is.NoErr(err)
	is.Equal(re.code, codes.KeyMismatch)

	re, err = th.call(http.MethodGet, "/v1/jobs/"+jb.ID+"?wait=1ms", "")
	is.NoErr(err)
	is.Equal(re.code, codes.JobQueued)
	re, err = th.call(http.MethodDelete, "/v1/jobs/"+jb.ID, "")
	is.NoErr(err)
	is.Equal(re.code, codes.CancelledUnstarted)
	re, err = th.call(http.MethodGet, "/v1/jobs?active=true", "")
	is.NoErr(err)
	is.Equal(re.body, `{"jobs":[]}`+"\n")
}

// TestSubmitSteps guards against submissions under the same idempotency key that
// count as the same job although their later steps differ.
func TestSubmitSteps(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 0, nil)
	steps := goodJob[:len(goodJob)-1] + `,"then":[{"shape":{"tasks":1,"accelerators":2,"adjacency":"zone"},"runTime":"5m","command":["sum"]}]}`
	re, err := th.call(http.MethodPost, "/v1/jobs", steps, client.HeaderKey, "j1")
	is.NoErr(err)
	is.Equal(re.code, codes.JobAccepted)
	var jb client.Job
	is.NoErr(json.Unmarshal([]byte(re.body), &jb))
	is.Equal(jb.Step, 1)
	is.Equal(jb.Steps, 2)
	re, err = th.call(http.MethodPost, "/v1/jobs", steps, client.HeaderKey, "j1")
	is.NoErr(err)
	is.Equal(re.code, codes.JobAccepted) // the same job
	re, err = th.call(http.MethodPost, "/v1/jobs", goodJob, client.HeaderKey, "j1")
	is.NoErr(err)
	is.Equal(re.code, codes.KeyMismatch) // the second step is missing
}

func TestRefusedJobs(t *testing.T) {
	for _, tc := range []struct {
		name string
		body string
		code codes.Code
	}{
		{"unknown key", `{"tasks":1}`, codes.BadRequest},
		{"duplicate key", `{"command":["a"],"command":["b"]}`, codes.BadRequest},
		{"two jobs", goodJob + goodJob, codes.BadRequest},
		{"not JSON", `tasks: 1`, codes.BadRequest},
		{"no repeatable", `{"shape":{"tasks":1,"accelerators":1,"adjacency":"rack"},"runTime":"1m","command":["a"]}`, codes.BadRequest},
		{"no run time", `{"shape":{"tasks":1,"accelerators":1,"adjacency":"rack"},"runTime":"0s","repeatable":true,"command":["a"]}`, codes.BadRequest},
		{"33 tasks", `{"shape":{"tasks":33,"accelerators":1,"adjacency":"rack"},"runTime":"1m","repeatable":true,"command":["a"]}`, codes.ShapeTooLarge},
		{"9 accelerators", `{"shape":{"tasks":1,"accelerators":9,"adjacency":"rack"},"runTime":"1m","repeatable":true,"command":["a"]}`, codes.ShapeTooLarge},
		{"bad second step", goodJob[:len(goodJob)-1] + `,"then":[{"shape":{"tasks":1,"accelerators":1,"adjacency":"rack"},"runTime":"1m","command":[]}]}`, codes.BadRequest},
		{"no run time of the second step", goodJob[:len(goodJob)-1] + `,"then":[{"shape":{"tasks":1,"accelerators":1,"adjacency":"rack"},"command":["a"]}]}`, codes.BadRequest},
		{"65 steps", goodJob[:len(goodJob)-1] + `,"then":[{}` + strings.Repeat(",{}", 63) + `]}`, codes.BadRequest},
		{"unknown zone", `{"zone":"ica","shape":{"tasks":1,"accelerators":1,"adjacency":"rack"},"runTime":"1m","repeatable":true,"command":["a"]}`, codes.BadRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			th := newTestHost(t, 0, nil)
			re, err := th.call(http.MethodPost, "/v1/jobs", tc.body)
			is.NoErr(err)
			is.Equal(re.code, tc.code)
			th.checkAccount(is, map[codes.Code]int{tc.code: 1})
		})
	}
}

func TestJobsOfOtherWorkspacesAreHidden(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 0, nil)
	re, err := th.call(http.MethodPost, "/v1/jobs", goodJob)
	is.NoErr(err)
	var jb client.Job
	is.NoErr(json.Unmarshal([]byte(re.body), &jb))
	rq, err := http.NewRequest(http.MethodDelete, th.url+"/v1/jobs/"+jb.ID, nil)
	is.NoErr(err)
	rq.Header.Set(client.HeaderWorkspace, "hotels")
	rs, err := http.DefaultTransport.RoundTrip(rq)
	is.NoErr(err)
	is.NoErr(rs.Body.Close())
	is.Equal(rs.StatusCode, http.StatusNotFound)
}

// panickingJobs panics at every call.
type panickingJobs struct{ jobs.Scheduler }

// TestPanicIsAnsweredWithCode guards against a panic that closes the connection
// without a response.
func TestPanicIsAnsweredWithCode(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 0, func(cfg *entry.Config, _ *spec.Declarations) { cfg.Jobs = panickingJobs{} })
	re, err := th.call(http.MethodGet, "/v1/jobs/lima.1", "")
	is.NoErr(err)
	is.Equal(re.code, codes.InternalFailure)
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

type (
	// submission is the body of a job.
	submission struct {
		Spec        string `json:"spec"`
		Steps       []step `json:"steps"`
		FirstMS     int64  `json:"first_ms,omitempty"`
		IntervalMS  int64  `json:"interval_ms,omitempty"`
		RepeatCount int    `json:"repeat_count,omitempty"`
	}

	step struct {
		Count       int    `json:"count"`
		CPU         int    `json:"cpu,omitempty"`
		MemMB       int    `json:"mem_mb,omitempty"`
		GPU         int    `json:"gpu,omitempty"`
		EstimateMS  int    `json:"estimate_ms,omitempty"`
		Requires    string `json:"requires,omitempty"`
		LongRunning bool   `json:"long_running,omitempty"`
		MayMiss     int    `json:"may_miss,omitempty"`
		Checkpoints bool   `json:"checkpoints,omitempty"`
	}
)

const (
	callDeadline = 3 * time.Second
	maxRetries   = 4
)

// call makes one call of a caller at a host and returns the status, zero if there
// was no response, and the body.
func (pl *plant) call(ho *host, method, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	rq, err := http.NewRequest(method, "http://"+ho.callers+queuePrefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	rq.Host = queueHost
	rq.Header.Set("Authorization", "Bearer "+apiKey)
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("Cicadawharf-Deadline-Ms", fmt.Sprint(callDeadline.Milliseconds()))
	cl := http.Client{Timeout: callDeadline}
	rsp, err := cl.Do(rq)
	if err != nil {
		pl.rec.write("%s %s at %s: no answer: %v", method, id, ho.name, err)
		return 0, ""
	}
	defer rsp.Body.Close()
	text, _ := io.ReadAll(rsp.Body)
	pl.rec.write("%s %s %s at %s: %d %s", method, id, data, ho.name, rsp.StatusCode, bytes.TrimSpace(text))
	return rsp.StatusCode, string(text)
}

// submit hands a job in, with retries at other hosts, and returns an error unless
// it was accepted.
func (pl *plant) submit(id string, sm submission) error {
	for _, st := range sm.Steps {
		if st.Requires != "" {
			pl.setLabel(id, st.Requires)
		}
	}
	for i := range maxRetries + 1 {
		if status, _ := pl.call(pl.hosts[i%len(pl.hosts)], http.MethodPost, id, sm); status/100 == 2 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s wasn't accepted", id)
}

// callAny makes a call at the hosts in turn until one of them answers.
func (pl *plant) callAny(method, id string) {
	for _, ho := range pl.hosts {
		if status, _ := pl.call(ho, method, id, nil); status != 0 {
			return
		}
	}
}

// jobID returns the ID of the nth job.
func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

type (
	// step is a step of a job, as PROTOCOL.md spells it.
	step struct {
		Count        int    `json:"count"`
		CPU          int    `json:"cpu,omitempty"`
		MemMB        int    `json:"mem_mb,omitempty"`
		GPU          int    `json:"gpu,omitempty"`
		EstimateMS   int    `json:"estimate_ms,omitempty"`
		Requires     string `json:"requires,omitempty"`
		AntiAffinity int    `json:"anti_affinity,omitempty"`
		LongRunning  bool   `json:"long_running,omitempty"`
		Fills        bool   `json:"fills,omitempty"`
		TargetMS     int    `json:"target_ms,omitempty"`
		MayMiss      int    `json:"may_miss,omitempty"`
	}

	// route is a queue of the configuration.
	route struct {
		name     string
		priority int
	}

	// tenant is a tenant of the configuration, whose key is its name.
	tenant struct {
		name       string
		guaranteed int // gpu
	}

	object = map[string]any
)

const (
	serviceName = "pricing-svc"
	routeHost   = "nony24.example"
	callTime    = 3 * time.Second
	acceptTime  = 20 * time.Second
)

// configure writes a version of the configuration.
func (rg *rig) configure(version int, tenants []tenant) {
	var res, tes []object
	for _, ro := range queues {
		res = append(res, object{
			"name": ro.name, "host": routeHost, "prefix": "/" + ro.name + "/", "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 3000,
			"priority": ro.priority, "service": serviceName, "max_attempts": 4, "stretch": 3.0, "allow_anonymous": false,
		})
	}
	for _, te := range tenants {
		tes = append(tes, object{"name": te.name, "api_keys": []string{te.name}, "guaranteed": object{"gpu": te.guaranteed}})
	}
	for _, te := range tenants {
		rg.note("op/config, version %d: tenant %s has %d gpu guaranteed", version, te.name, te.guaranteed)
	}
	rg.store.Put("op/config", object{
		"version": version, "routes": res, "tenants": tes, "limits": object{"max_body_bytes": 262144},
		"services": []object{{"name": serviceName, "rejects_overload": false, "spare": false}},
	})
}

// submit submits a job of one step and waits until it is accepted. It is sent to one
// host after the other, as a consumer repeats it after a 503 or without an answer.
func (rg *rig) submit(id, queue, key string, st step) error {
	body, err := json.Marshal(object{"spec": "spec of " + id, "steps": []step{st}})
	if err != nil {
		return err
	}
	rg.mu.Lock()
	rg.steps[id] = st
	rg.mu.Unlock()
	rg.note("POST /%s/%s by %s: %s", queue, id, key, body)
	i := 0
	accepted := until(acceptTime, func() bool {
		ho := rg.hosts[i%len(rg.hosts)]
		i++
		status, _ := rg.call(ho, http.MethodPost, "/"+queue+"/"+id, key, body)
		return status/100 == 2
	})
	if !accepted {
		return fmt.Errorf("job %s was not accepted", id)
	}
	rg.note("job %s is accepted", id)
	return nil
}

// stepOf returns the step of a work unit.
func (rg *rig) stepOf(task string) step {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.steps[strings.SplitN(task, ".", 2)[0]]
}

// call makes one call and returns the status, zero without an answer, and the body.
func (rg *rig) call(ho *host, method, path, key string, body []byte) (int, string) {
	rq, err := http.NewRequestWithContext(rg.ctx, method, "http://"+ho.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	rq.Host = routeHost
	rq.Header.Set("Authorization", "Bearer "+key)
	rq.Header.Set("Cicadawharf-Deadline-Ms", "3000")
	rq.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: callTime}
	rs, err := client.Do(rq)
	if err != nil {
		return 0, ""
	}
	defer rs.Body.Close()
	text, _ := io.ReadAll(rs.Body)
	return rs.StatusCode, strings.TrimSpace(string(text))
}

// state notes the state of a job, as the first host says it.
func (rg *rig) state(id, queue, key string) {
	status, text := rg.call(rg.hosts[0], http.MethodGet, "/"+queue+"/"+id, key, nil)
	rg.note("GET /%s/%s: %d %s", queue, id, status, text)
}

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The platform's machines, as PROTOCOL.md describes them, and the check of the rule
// ONE: for one machine, a lower generation number may not come after a higher one.

type (
	cloud struct {
		mu       sync.Mutex
		machines []*machine
		first    chan struct{} // closed at the first order
		slow     time.Time     // answers are slow until then
		taken    []time.Time   // orders of the last second
		orders   int
		stale    int // orders with a lower number after a higher one
	}

	machine struct {
		id, worker string
		until      time.Time // of its upkeep
		done       bool
		highest    int64 // generation number of an order
		holder     string
	}
)

const (
	upkeepTime   = 2 * time.Second
	waveMachines = 48
	cloudTime    = 5 * time.Millisecond    // of an answer
	slowTime     = 1600 * time.Millisecond // of a slow answer
	slowFor      = time.Second
	ordersPerSec = 60 // duty_per_s
	waveNumber   = 1
)

func newCloud() *cloud {
	cl := &cloud{first: make(chan struct{})}
	for i := range waveMachines {
		cl.machines = append(cl.machines, &machine{id: fmt.Sprintf("m%02d", i), worker: fmt.Sprintf("w%d", i)})
	}
	return cl
}

// ServeHTTP implements http.Handler. A call is carried out when it arrives, and
// answered after a while.
func (cl *cloud) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	switch rq.URL.Path {
	case "/machines":
		body := cl.list()
		time.Sleep(cloudTime)
		respond(wr, http.StatusOK, body)
	case "/machine-upkeep":
		status, body, delay := cl.upkeep(rq)
		time.Sleep(delay)
		respond(wr, status, body)
	default:
		respond(wr, http.StatusNotFound, nil)
	}
}

// full notes an order, and reports whether the platform takes no more of them in this
// second.
func (cl *cloud) full() bool {
	cl.taken = slices.DeleteFunc(cl.taken, func(at time.Time) bool { return time.Since(at) > time.Second })
	if len(cl.taken) >= ordersPerSec {
		return true
	}
	cl.taken = append(cl.taken, time.Now())
	return false
}

func (cl *cloud) list() any {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var rows []map[string]any
	for _, ma := range cl.machines {
		state := "up"
		if time.Now().Before(ma.until) {
			state = "upkeep"
		}
		rows = append(rows, map[string]any{
			"machine": ma.id, "pool": serviceName, "state": state, "zone": "z1", "labels": []string{"a", "r1"},
			"capacity": capacity{64000, 262144, 8}, "id": ma.worker,
		})
	}
	return map[string]any{"machines": rows}
}

// upkeep carries out an order and checks its generation number, which the platform of
// the site does not (require_fencing is false).
func (cl *cloud) upkeep(rq *http.Request) (int, any, time.Duration) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	holder := rq.Header.Get("Cicadawharf-Duty-Holder")
	token, err := strconv.ParseInt(rq.Header.Get("Cicadawharf-Fencing-Token"), 10, 64)
	if json.NewDecoder(rq.Body).Decode(&body) != nil || err != nil {
		return http.StatusBadRequest, nil, cloudTime
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	at := slices.IndexFunc(cl.machines, func(ma *machine) bool { return ma.id == body.Machine })
	if at < 0 {
		return http.StatusBadRequest, nil, cloudTime
	}
	if cl.full() {
		return http.StatusTooManyRequests, nil, cloudTime
	}
	ma := cl.machines[at]
	verdict := ""
	if token < ma.highest {
		cl.stale++
		verdict = fmt.Sprintf(": ONE, after %s with number %d", ma.holder, ma.highest)
	} else {
		ma.highest, ma.holder = token, holder
	}
	logf("cloud: order for %s by %s with number %d%s", ma.id, holder, token, verdict)
	if cl.orders++; cl.orders == 1 {
		cl.slow = time.Now().Add(slowFor)
		close(cl.first)
	}
	delay := cloudTime
	if time.Now().Before(cl.slow) {
		delay = slowTime
	}
	if !ma.done && body.Wave == waveNumber {
		ma.done, ma.until = true, time.Now().Add(upkeepTime)
	}
	return http.StatusOK, nil, delay
}

package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type (
	// cloud stands in for the platform's interface for machines.
	cloud struct {
		pl   *plant
		mu   sync.Mutex
		down map[string]time.Time // machines in their upkeep, with its end
		done map[string]bool      // machines that had their upkeep, by machine and wave
		// orders are those that were carried out or had been done already.
		orders []order
		fault  func(or order) cloudFault // set by a case; nil for none
		limit  int                       // max_count of the wave
	}

	// order is an order for a machine.
	order struct {
		machine string
		wave    int
		holder  string
		token   int64
		at      time.Time
	}

	// cloudFault is what goes wrong with an order.
	cloudFault uint8

	machineRow struct {
		Machine  string   `json:"machine"`
		Pool     string   `json:"pool"`
		State    string   `json:"state"`
		Zone     string   `json:"zone"`
		Labels   []string `json:"labels"`
		Capacity capacity `json:"capacity"`
		ID       string   `json:"id"`
	}
)

const (
	noFault     cloudFault = iota
	loseAnswer             // the order is carried out and its answer is lost
	unavailable            // the order is turned away with 503

	upkeepTime = 2 * time.Second // upkeep_s
)

func newCloud(pl *plant) *cloud {
	return &cloud{pl: pl, down: map[string]time.Time{}, done: map[string]bool{}}
}

// ServeHTTP implements http.Handler.
func (cl *cloud) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	time.Sleep(answerTime)
	wr.Header().Set("Content-Type", "application/json")
	switch rq.Method + " " + rq.URL.Path {
	case "GET /machines":
		_ = json.NewEncoder(wr).Encode(map[string]any{"machines": cl.list(), "next_token": nil})
	case "POST /machine-upkeep":
		var body struct {
			Machine string `json:"machine"`
			Wave    int    `json:"wave"`
		}
		token, err := strconv.ParseInt(rq.Header.Get("Cicadawharf-Fencing-Token"), 10, 64)
		if err != nil || json.NewDecoder(rq.Body).Decode(&body) != nil {
			wr.WriteHeader(http.StatusBadRequest)
			return
		}
		or := order{body.Machine, body.Wave, rq.Header.Get("Cicadawharf-Duty-Holder"), token, time.Now()}
		cl.answer(wr, or)
	default:
		wr.WriteHeader(http.StatusNotFound)
	}
}

// answer carries an order out, unless a fault of the case prevents it.
func (cl *cloud) answer(wr http.ResponseWriter, or order) {
	fault := noFault
	if cl.fault != nil {
		fault = cl.fault(or)
	}
	if fault == unavailable {
		cl.pl.rec.write("upkeep of %s ordered by %s, token %d: 503", or.machine, or.holder, or.token)
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, reason := cl.perform(or)
	cl.pl.rec.write("upkeep of %s ordered by %s, token %d: %d %s, answer lost: %v", or.machine, or.holder, or.token, status, reason, fault == loseAnswer)
	if fault == loseAnswer {
		panic(http.ErrAbortHandler)
	}
	wr.WriteHeader(status)
	if reason != "" {
		_ = json.NewEncoder(wr).Encode(map[string]string{"reason": reason})
	}
}

// perform carries an order out and judges it.
func (cl *cloud) perform(or order) (int, string) {
	wo := cl.workerOf(or.machine)
	if wo == nil {
		return http.StatusBadRequest, ""
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, earlier := range cl.orders {
		if earlier.machine == or.machine && or.token < earlier.token {
			cl.pl.ledger.breaks("ONE: an order for %s by %s with the generation number %d, after one by %s with %d at %s",
				or.machine, or.holder, or.token, earlier.holder, earlier.token, cl.pl.rec.at(earlier.at))
		}
	}
	cl.orders = append(cl.orders, or)
	key := or.machine + " " + strconv.Itoa(or.wave)
	switch {
	case cl.done[key]:
		return http.StatusOK, ""
	case !cl.down[or.machine].IsZero():
		return http.StatusConflict, "busy"
	}
	if cl.limit > 0 && len(cl.down) >= cl.limit {
		cl.pl.ledger.breaks("LIMIT: the upkeep of %s begins while %d machines of wave %d are down for theirs, and max_count is %d",
			or.machine, len(cl.down), or.wave, cl.limit)
	}
	cl.done[key] = true
	cl.down[or.machine] = time.Now().Add(upkeepTime)
	wo.crash()
	go cl.finish(wo)
	return http.StatusOK, ""
}

// finish ends the upkeep of a machine: a new worker joins the pool.
func (cl *cloud) finish(wo *worker) {
	time.Sleep(upkeepTime)
	cl.mu.Lock()
	delete(cl.down, wo.machine)
	cl.mu.Unlock()
	wo.mu.Lock()
	wo.id += "b"
	wo.mu.Unlock()
	if err := wo.start(); err != nil {
		cl.pl.rec.write("worker %s doesn't start: %v", wo.id, err)
	}
}

func (cl *cloud) workerOf(machine string) *worker {
	for _, wo := range cl.pl.workers {
		if wo.machine == machine {
			return wo
		}
	}
	return nil
}

// list returns the rows of all machines.
func (cl *cloud) list() []machineRow {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	rows := []machineRow{}
	for _, wo := range cl.pl.workers {
		state := "up"
		if !cl.down[wo.machine].IsZero() {
			state = "upkeep"
		}
		wo.mu.Lock()
		rows = append(rows, machineRow{wo.machine, service, state, zone, []string{wo.kind, wo.rack}, wo.capacity, wo.id})
		wo.mu.Unlock()
	}
	return rows
}

// order puts a wave into the operator's part of the store.
func (cl *cloud) order(wave int, machines []string, duration time.Duration, maxCount int) {
	cl.mu.Lock()
	cl.limit = maxCount
	cl.mu.Unlock()
	cl.pl.store.put("op/wave/"+strconv.Itoa(wave), map[string]any{
		"wave": wave, "machines": machines, "duration_s": duration.Seconds(), "max_count": maxCount,
	})
	cl.pl.rec.write("wave %d of %v is requested: %v, %d at once", wave, machines, duration, maxCount)
}

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

type (
	// machines is a stand-in of the platform's interface for machines.
	machines struct {
		rg      *rig
		address string
		mu      sync.Mutex
		list    []*machine
	}

	machine struct {
		name   string
		state  string
		worker *worker
		done   []int // waves whose upkeep it has had
	}

	upkeepCall struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
)

// upkeepTime is upkeep_s of the site.
const upkeepTime = 2 * time.Second

func (rg *rig) startMachines() error {
	ms := &machines{rg: rg}
	var err error
	if ms.address, err = rg.serve(ms); err != nil {
		return err
	}
	rg.machines = ms
	return nil
}

// add adds a machine that is up, with its worker.
func (ms *machines) add(name string, wo *worker) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.list = append(ms.list, &machine{name: name, state: "up", worker: wo})
}

// ServeHTTP implements http.Handler.
func (ms *machines) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if rq.URL.Path == "/machines" {
		ms.answerList(wr)
		return
	}
	var ca upkeepCall
	if err := json.NewDecoder(rq.Body).Decode(&ca); err != nil || rq.URL.Path != "/machine-upkeep" {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := ms.upkeep(ca)
	ms.rg.note("POST /machine-upkeep by %s, token %s: machine %s, wave %d: %d %s",
		rq.Header.Get("Cicadawharf-Duty-Holder"), rq.Header.Get("Cicadawharf-Fencing-Token"), ca.Machine, ca.Wave, status, reason)
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(object{"reason": reason})
}

func (ms *machines) answerList(wr http.ResponseWriter) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	rows := []object{}
	for _, ma := range ms.list {
		rows = append(rows, object{
			"machine": ma.name, "pool": serviceName, "state": ma.state, "zone": "centro-a", "labels": ma.worker.labels,
			"capacity": object{"cpu": workerCPU, "mem_mb": workerMem, "gpu": workerGPU}, "id": ma.worker.id,
		})
	}
	_ = json.NewEncoder(wr).Encode(object{"machines": rows, "next_token": nil})
}

// upkeep carries out an order, and returns the status and the reason of its answer.
func (ms *machines) upkeep(ca upkeepCall) (int, string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	i := slices.IndexFunc(ms.list, func(ma *machine) bool { return ma.name == ca.Machine })
	if i < 0 {
		return http.StatusBadRequest, ""
	}
	ma := ms.list[i]
	if slices.Contains(ma.done, ca.Wave) {
		return http.StatusOK, ""
	}
	if ma.state != "up" {
		return http.StatusConflict, "busy"
	}
	ma.done = append(ma.done, ca.Wave)
	ma.state = "upkeep"
	former := ma.worker
	former.mu.Lock()
	for task := range former.runs {
		ms.rg.unitStopped(former, task)
		ms.rg.unitEnds(former, task, "upkeep")
	}
	former.mu.Unlock()
	go ms.comeBack(ma, former)
	return http.StatusOK, ""
}

// comeBack ends the former worker of a machine and starts a new one after the upkeep.
func (ms *machines) comeBack(ma *machine, former *worker) {
	former.leave()
	time.Sleep(upkeepTime)
	wo, err := ms.rg.addWorker(former.id+"n", former.labels...)
	if err != nil {
		ms.rg.note("no new worker on %s: %v", ma.name, err)
		return
	}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ma.worker, ma.state = wo, "up"
	ms.rg.note("machine %s is up again, with worker %s", ma.name, wo.id)
}

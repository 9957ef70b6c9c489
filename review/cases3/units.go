package main

import (
	"maps"
	"slices"
	"strings"
	"time"
)

type (
	// unitState is what the workers have seen of a work unit of a step with may_miss.
	unitState struct {
		atWork  bool
		ordered bool      // it was last ended by a stop or an upkeep
		since   time.Time // since when it is not at work
	}

	// availability checks AVAIL for the only step of a job.
	availability struct {
		job     string
		mayMiss int
		units   map[string]*unitState
	}
)

const (
	// noticeTime is notice_ms of the site.
	noticeTime = 5500 * time.Millisecond
	// maxFits is how much room is counted.
	maxFits = 100
)

// watch begins to check AVAIL for the only step of a job.
func (rg *rig) watch(job string, count, mayMiss int) {
	rg.watched = &availability{job: job, mayMiss: mayMiss, units: map[string]*unitState{}}
	for i := range count {
		rg.watched.units[taskOf(job, i)] = &unitState{since: time.Now()}
	}
}

// noteDone notes that the end of a work unit that is done was taken note of.
func (rg *rig) noteDone(task string) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.noted[task] = true
	rg.write("the end of %s is taken note of", task)
}

// isNoted reports whether that has happened.
func (rg *rig) isNoted(task string) bool {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.noted[task]
}

// lateness returns how much later a call is to be carried out, without an answer; zero for
// at once. Only the first start of the work unit that the case names is late.
func (rg *rig) lateness(path string, ca workerCall) time.Duration {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if path != "/run-start" || ca.Task != rg.lateTask {
		return 0
	}
	rg.lateTask = ""
	return rg.late
}

// unitBegins notes that a work unit is at work. Those of the scenarios need no time to
// start up. It checks TWICE.
func (rg *rig) unitBegins(wo *worker, task string) {
	if rg.isNoted(task) {
		rg.breakRule("TWICE: %s begins on %s after a run of it has ended done, which was taken note of", task, wo.id)
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.begun[task] = true
	if un := rg.watched.unit(task); un != nil {
		un.atWork, un.ordered = true, false
	}
}

// begunOf returns how many work units of a job have begun, whether they still run or not.
func (rg *rig) begunOf(job string) int {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	count := 0
	for task := range rg.begun {
		if strings.HasPrefix(task, job+".") {
			count++
		}
	}
	return count
}

// capacity returns how many work units of a step have room on the workers, and the larger
// one of the shares of cores and accelerators that are in use.
func (rg *rig) capacity(st step) (fits int, used float64) {
	rg.mu.Lock()
	workers := slices.Collect(maps.Values(rg.workers))
	rg.mu.Unlock()
	var sum step
	for _, wo := range workers {
		taken := wo.taken()
		sum.CPU, sum.GPU = sum.CPU+taken.CPU, sum.GPU+taken.GPU
		left := step{CPU: workerCPU - taken.CPU, MemMB: workerMem - taken.MemMB, GPU: workerGPU - taken.GPU}
		for left.CPU >= st.cores() && left.MemMB >= st.MemMB && left.GPU >= st.GPU && fits < maxFits {
			left = step{CPU: left.CPU - st.cores(), MemMB: left.MemMB - st.MemMB, GPU: left.GPU - st.GPU}
			fits++
		}
	}
	n := len(workers)
	return fits, max(float64(sum.CPU)/float64(n*workerCPU), float64(sum.GPU)/float64(n*workerGPU))
}

// cores returns what a work unit counts against the capacity of its worker.
func (st step) cores() int {
	if st.Fills {
		return 0
	}
	return st.CPU
}

// unitEnds notes that a work unit is not at work any more.
func (rg *rig) unitEnds(_ *worker, task, how string) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if un := rg.watched.unit(task); un != nil && un.atWork {
		un.atWork, un.since = false, time.Now()
		un.ordered = how == "stopped" || how == "upkeep"
	}
}

// unitStopped checks AVAIL as an order of the system ends a work unit that is at work.
func (rg *rig) unitStopped(wo *worker, task string) {
	rg.mu.Lock()
	un := rg.watched.unit(task)
	if un == nil || !un.atWork {
		rg.mu.Unlock()
		return
	}
	away := 0
	for name, other := range rg.watched.units {
		if name != task && !other.atWork && (other.ordered || time.Since(other.since) >= noticeTime) {
			away++
		}
	}
	mayMiss := rg.watched.mayMiss
	rg.mu.Unlock()
	rg.note("an order ends %s on %s while %d others of its step are away; may_miss is %d", task, wo.id, away, mayMiss)
	if away >= mayMiss {
		rg.breakRule("AVAIL: an order ends %s, at work on the sound worker %s, while %d others of its step are away (may_miss %d)", task, wo.id, away, mayMiss)
	}
}

func (av *availability) unit(task string) *unitState {
	if av == nil || !strings.HasPrefix(task, av.job+".") {
		return nil
	}
	return av.units[task]
}

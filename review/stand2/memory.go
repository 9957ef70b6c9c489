package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The memory case: clients with a valid key submit many large jobs of legal size,
// then the leader is killed. A process beyond the memory of its machine is killed and
// started again, as DEPLOY.md says. The rule is LOST: from finish_s after the last
// submission on, no accepted job of an ordinary client may have nothing running for
// three seconds while its turn has come and most workers are idle. With TROUBLE=kill
// there is no crowd, but the leader is killed all the same.

const (
	crowdJobs       = 500
	crowdClients    = 20
	crowdLabel      = 160_000 // bytes
	crowdTime       = 45 * time.Second
	ordinaryJobs    = 6
	ordinaryWork    = 20 * time.Second
	finishTime      = 14 * time.Second // finish_s
	watchTime       = 18 * time.Second
	maxStandstill   = 3 * time.Second
	restartDelay    = time.Second
	standstillCheck = 50 * time.Millisecond
)

type (
	// limiter kills processes beyond the memory of their machines and starts them again.
	limiter struct {
		mu    sync.Mutex
		kills map[string]int
		peak  map[string]int64
	}

	// watcher follows when work units of jobs run on the workers.
	watcher struct {
		workers []*worker
		idle    map[string]time.Time
		longest map[string]time.Duration
	}
)

// job returns the body of a job of one work unit.
func job(work time.Duration, label string) []byte {
	step := map[string]any{"count": 1, "cpu": 500, "mem_mb": 256, "gpu": 1, "estimate_ms": work.Milliseconds()}
	if label != "" {
		step["requires"] = label
	}
	var buf bytes.Buffer
	en := json.NewEncoder(&buf)
	en.SetEscapeHTML(false)
	_ = en.Encode(map[string]any{"spec": specOf(work), "steps": []any{step}})
	return buf.Bytes()
}

func jobID(i int) string { return fmt.Sprintf("%016x", i) }

func startWorkers(st *metaStore, count int) []*worker {
	var wks []*worker
	for i := range count {
		wks = append(wks, startWorker(st, fmt.Sprintf("w%d", i), "r1", capacity{64000, 262144, 8}))
	}
	return wks
}

// watch kills each process of a deployment that exceeds the memory of its machine.
func (lm *limiter) watch(de *deployment) {
	for _, ho := range de.hosts {
		go func() {
			for {
				time.Sleep(memorySample)
				used := ho.memory("VmRSS:")
				lm.mu.Lock()
				lm.peak[ho.name] = max(lm.peak[ho.name], used)
				lm.mu.Unlock()
				if used <= memoryMB<<20 || !ho.lives() {
					continue
				}
				ho.kill()
				logf("host %s needs %d MB of %d and is killed, as DEPLOY.md says", ho.name, used>>20, memoryMB)
				lm.mu.Lock()
				lm.kills[ho.name]++
				lm.mu.Unlock()
				time.Sleep(restartDelay)
				de.restart(ho)
			}
		}()
	}
}

// crowd submits large jobs and returns how many were accepted.
func crowd(de *deployment) int64 {
	body := job(time.Second, strings.Repeat("<", crowdLabel))
	logf("%d bodies of %d bytes each are sent, %d at once", crowdJobs, len(body), crowdClients)
	var accepted, next atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(crowdTime)
	for range crowdClients {
		wg.Go(func() {
			for i := next.Add(1); i <= crowdJobs && time.Now().Before(end); i = next.Add(1) {
				ca := call{method: http.MethodPost, path: queuePrefix + jobID(1_000_000+int(i)), key: "key-of-tenant-2", body: body}
				if status, _ := de.hosts[int(i)%len(de.hosts)].call(ca); status/100 == 2 {
					accepted.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return accepted.Load()
}

// begin notes for how long each job has nothing running from now on.
func (wa *watcher) begin(ids []string, span time.Duration) {
	wa.idle, wa.longest = map[string]time.Time{}, map[string]time.Duration{}
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(standstillCheck) {
		now := time.Now()
		for _, id := range ids {
			if wa.isBusy(id) {
				delete(wa.idle, id)
				continue
			}
			if _, ok := wa.idle[id]; !ok {
				wa.idle[id] = now
			}
			wa.longest[id] = max(wa.longest[id], now.Sub(wa.idle[id]))
		}
	}
}

// isBusy reports whether the work unit of a job runs or has ended as done.
func (wa *watcher) isBusy(id string) bool {
	task := id + ".0.0.0"
	for _, wk := range wa.workers {
		wk.mu.Lock()
		_, runs := wk.running[task]
		done := wk.done[task]
		wk.mu.Unlock()
		if runs || done {
			return true
		}
	}
	return false
}

// submitOrdinary submits ordinary jobs, each until a host has accepted it, and returns
// the IDs of those that were.
func submitOrdinary(de *deployment, first, count int) []string {
	var ids []string
	for i := range count {
		id := jobID(first + i)
		for attempt := range 5 {
			ho := de.hosts[(i+attempt)%len(de.hosts)]
			status := ho.submit(id, job(ordinaryWork, ""))
			logf("ordinary job %s to %s: %d", id, ho.name, status)
			if status/100 == 2 {
				ids = append(ids, id)
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	return ids
}

func memoryCase(trouble bool) (int, error) {
	de, err := deploy(3, "")
	if de != nil {
		defer de.end()
	}
	if err != nil {
		return couldNot, err
	}
	wa := &watcher{workers: startWorkers(de.store, 8)}
	lm := &limiter{kills: map[string]int{}, peak: map[string]int64{}}
	lm.watch(de)
	leader := de.awaitLeader(nil, 5*time.Second)
	if leader == nil {
		return couldNot, fmt.Errorf("no host leads")
	}
	ids := submitOrdinary(de, 1, ordinaryJobs/2)
	if trouble {
		accepted := crowd(de)
		logf("%d large jobs were accepted; the store holds %d MB", accepted, de.store.size()>>20)
	}
	ids = append(ids, submitOrdinary(de, 100, ordinaryJobs/2)...)
	time.Sleep(time.Second)
	if leader = de.awaitLeader(nil, 5*time.Second); (trouble || os.Getenv("TROUBLE") == "kill") && leader != nil {
		logf("host %s, which leads, is killed, and started again after 3 s", leader.name)
		leader.kill()
		time.Sleep(3 * time.Second)
		de.restart(leader)
	} else {
		time.Sleep(3 * time.Second)
	}
	ids = append(ids, submitOrdinary(de, 200, 2)...)
	logf("the last job was submitted; finish_s begins")
	time.Sleep(finishTime)
	wa.begin(ids, watchTime)
	return lm.judge(de, wa, ids)
}

// judge checks the rule and writes what was seen.
func (lm *limiter) judge(de *deployment, wa *watcher, ids []string) (int, error) {
	code := held
	for _, id := range slices.Sorted(slices.Values(ids)) {
		status, state := 0, ""
		for _, ho := range de.hosts {
			if status, state = ho.state(id); status == http.StatusOK {
				break
			}
		}
		verdict := "held"
		if wa.longest[id] >= maxStandstill {
			verdict, code = "LOST", broken
		}
		logf("job %s: %s, shown as %d %q, had nothing running for %.1f s on end", id, verdict, status, state, wa.longest[id].Seconds())
	}
	lm.mu.Lock()
	defer lm.mu.Unlock()
	for _, ho := range de.hosts {
		logf("host %s: peak %d MB of %d, killed %d times for it", ho.name, lm.peak[ho.name]>>20, memoryMB, lm.kills[ho.name])
	}
	return code, nil
}

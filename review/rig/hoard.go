package main

import (
	"bufio"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hoard"] = playHoard }

const (
	memoryMB     = 284                     // memory_mb
	restartDelay = 500 * time.Millisecond  // of a process that was killed
	lookInterval = 50 * time.Millisecond   // between two looks at the memory of a process
	finishTime   = 14 * time.Second        // finish_s
	idleTime     = 3 * time.Second         // that a job may have nothing running
	faultKills   = 3                       // times that a process may not end by itself, on two machines
	schedule     = 5 * 60 * 1000           // ms between two occurrences
	occurrences  = 2 * 365 * 24 * 60 / 5   // two years of them
	bigJobs      = 5                       // jobs with so many occurrences
	smallJobs    = 12                      // that are handed in afterwards
	smallGap     = 2500 * time.Millisecond // between two of them
)

// guard kills the processes that exceed their memory, as the platform does, and
// restarts them.
type guard struct {
	pl    *plant
	mu    sync.Mutex
	kills map[*host]int
	ended bool
}

// playHoard hands in a few jobs that repeat for two years, and then small ones.
// Without trouble, the former repeat eight times, as those of the site do.
func playHoard(pl *plant) error {
	for range 4 {
		if _, err := pl.addWorker("a", capacity{CPU: 64000, MemMB: 262144, GPU: 8}); err != nil {
			return err
		}
	}
	if err := pl.startHosts(); err != nil {
		return err
	}
	gd := &guard{pl: pl, kills: map[*host]int{}}
	go gd.watch()
	defer gd.end()
	repeats := occurrences
	if !pl.trouble {
		repeats = 8
	}
	for n := range bigJobs {
		sm := submission{
			Spec: "work 2500 step 0 saves false", Steps: []step{{Count: 1, CPU: 7500, MemMB: 31000, GPU: 1, EstimateMS: 2500}},
			RepeatCount: repeats, IntervalMS: schedule, FirstMS: time.Now().Add(time.Hour).UnixMilli(),
		}
		if err := pl.submit(jobID(n), sm); err != nil {
			return err
		}
	}
	accepted, err := pl.handInSmall(bigJobs)
	if err != nil {
		return err
	}
	gd.judge()
	pl.lookAt(accepted)
	return nil
}

// handInSmall hands in small jobs, numbered from first, and reports those that
// have nothing running for idleTime once finishTime has passed after them. It
// returns the accepted ones.
func (pl *plant) handInSmall(first int) (map[string]bool, error) {
	accepted := map[string]bool{}
	for n := first; n < first+smallJobs; n++ {
		sm := submission{Spec: "work 2500 step 0 saves false", Steps: []step{{Count: 1, CPU: 7500, MemMB: 31000, GPU: 1, EstimateMS: 2500}}}
		if pl.submit(jobID(n), sm) == nil {
			accepted[jobID(n)] = true
		}
		time.Sleep(smallGap)
	}
	if len(accepted) == 0 {
		return nil, errors.New("no small job was accepted")
	}
	pl.rec.write("the traffic ends")
	time.Sleep(finishTime)
	before := pl.ledger.unfinished(accepted)
	time.Sleep(idleTime)
	for _, id := range pl.ledger.unfinished(accepted) {
		if slices.Contains(before, id) {
			pl.ledger.breaks("LOST: job %s has had nothing running for %v, %v after the traffic, beside idle workers", id, idleTime, finishTime)
		}
	}
	return accepted, nil
}

// lookAt asks for the state of jobs.
func (pl *plant) lookAt(jobs map[string]bool) {
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		pl.callAny(http.MethodGet, id)
	}
}

// watch looks at the memory of all processes until the case ends.
func (gd *guard) watch() {
	for !gd.hasEnded() {
		time.Sleep(lookInterval)
		for _, ho := range gd.pl.hosts {
			if mb := residentMB(ho.pid()); mb > memoryMB {
				gd.kill(ho, mb)
			}
		}
	}
}

// kill kills and restarts a process.
func (gd *guard) kill(ho *host, mb int) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if gd.ended {
		return
	}
	gd.kills[ho]++
	gd.pl.rec.write("%s has %d MB and is killed, for the %d. time", ho.name, mb, gd.kills[ho])
	_ = ho.signal(syscall.SIGKILL)
	ho.wait()
	go func() {
		time.Sleep(restartDelay)
		gd.mu.Lock()
		defer gd.mu.Unlock()
		if gd.ended {
			return
		}
		if err := ho.start(); err != nil {
			gd.pl.rec.write("%s doesn't start: %v", ho.name, err)
		}
	}()
}

// judge reports processes that have exceeded their memory three times, on two
// machines.
func (gd *guard) judge() {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	var names []string
	for ho, n := range gd.kills {
		if n >= faultKills {
			names = append(names, fmt.Sprintf("%s %d times", ho.name, n))
		}
	}
	if len(names) >= 2 {
		gd.pl.ledger.breaks("Fault: the memory of these processes was over %d MB: %s", memoryMB, strings.Join(names, ", "))
	}
}

func (gd *guard) hasEnded() bool {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return gd.ended
}

func (gd *guard) end() {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.ended = true
}

// residentMB returns the memory of a process in megabytes, or zero if it is not
// known.
func residentMB(pid int) int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	for sc := bufio.NewScanner(file); sc.Scan(); {
		var kb int
		if n, _ := fmt.Sscanf(sc.Text(), "VmRSS: %d kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

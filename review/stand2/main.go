// Command stand2 runs the script cases of the second review: it starts the hosts of
// a small deployment as processes, with stand-ins of the store, the workers and the
// platform's machines in front of them, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

var (
	began    = time.Now()
	recordMu sync.Mutex
	record   *os.File
)

// logf writes a line to the record with the time since the start.
func logf(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a store, some hosts and a temporary folder.
type deployment struct {
	dir    string
	store  *metaStore
	hosts  []*host
	mu     sync.Mutex
	ending bool
}

// deploy starts a store and a number of hosts, and waits until all are ready.
func deploy(hosts int, machines string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	de := &deployment{dir: dir, store: newStore()}
	de.store.put("op/config", configuration())
	for i := range hosts {
		ga := &gate{store: de.store}
		ho := newHost(dir, fmt.Sprintf("h%d", i+1), serve(ga), machines)
		ho.gate = ga
		ho.start()
		de.hosts = append(de.hosts, ho)
	}
	for _, ho := range de.hosts {
		if !ho.awaitReady(10 * time.Second) {
			return de, fmt.Errorf("host %s is not ready", ho.name)
		}
	}
	return de, nil
}

// restart starts the process of a host again, unless the deployment is being ended.
func (de *deployment) restart(ho *host) {
	de.mu.Lock()
	defer de.mu.Unlock()
	if !de.ending {
		ho.start()
	}
}

// end ends all processes and removes the temporary folder.
func (de *deployment) end() {
	de.mu.Lock()
	de.ending = true
	de.mu.Unlock()
	for _, ho := range de.hosts {
		ho.signal(os.Kill)
		<-ho.done
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(de.dir)
	}
}

// leader returns the host that holds the leader key, or nil.
func (de *deployment) leader() *host {
	value := string(de.store.value("holder"))
	for _, ho := range de.hosts {
		if len(value) > len(ho.name) && value[:len(ho.name)+1] == ho.name+" " {
			return ho
		}
	}
	return nil
}

// awaitLeader waits until some host other than a former one leads.
func (de *deployment) awaitLeader(former *host, limit time.Duration) *host {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ho := de.leader(); ho != nil && ho != former {
			return ho
		}
	}
	return nil
}

func main() {
	cases := map[string]func(trouble bool) (int, error){
		"memory": memoryCase, "cancel": cancelCase, "pending": pendingCase, "stale": staleCase,
		"reborn": rebornCase, "vanish": vanishCase, "due": dueCase,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(couldNot)
	}
	dir, err := filepath.Abs(os.Args[2])
	if err == nil {
		record, err = os.Create(filepath.Join(dir, "record.txt"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	code, err := cases[os.Args[1]](os.Getenv("TROUBLE") == "" || os.Getenv("TROUBLE") == "1")
	if err != nil {
		logf("the case could not run: %v", err)
		code = couldNot
	}
	logf("exit code %d", code)
	record.Close()
	os.Exit(code)
}

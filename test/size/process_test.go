//go:build linux

package size_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
)

type (
	// process is a running child process.
	process struct {
		cmd     *exec.Cmd
		address string
	}

	// usage is the resource usage of a process since its start.
	usage struct {
		processor time.Duration
		bytes     float64 // read and written, on all connections
		resident  float64 // current resident memory, bytes
	}
)

// clockTick is the unit of the kernel's processor times.
const clockTick = 10 * time.Millisecond

// spawn starts a child process and waits until it serves.
func spawn(b *testing.B, cc childConfig) *process {
	b.Helper()
	content, err := json.Marshal(cc)
	if err != nil {
		b.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), configVariable+"="+string(content))
	cmd.Stderr = os.Stderr
	input, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	output, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = input.Close()
		timer := time.AfterFunc(startTime, func() { _ = cmd.Process.Kill() })
		defer timer.Stop()
		_ = cmd.Wait()
	})
	address, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		b.Fatalf("child process %s did not start: %v", cc.Role, err)
	}
	return &process{cmd: cmd, address: strings.TrimSpace(address)}
}

// usage reads the kernel's counters for the process.
func (pr *process) usage(b *testing.B) usage {
	b.Helper()
	stat := pr.file(b, "stat")
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	const user, system = 11, 12 // indices of utime and stime after the command name
	return usage{
		processor: time.Duration(number(b, fields[user])+number(b, fields[system])) * clockTick,
		bytes:     pr.field(b, "io", "rchar:") + pr.field(b, "io", "wchar:"),
		resident:  pr.field(b, "status", "VmRSS:") * 1024,
	}
}

// file returns the content of a file in the process's /proc directory.
func (pr *process) file(b *testing.B, name string) string {
	b.Helper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pr.cmd.Process.Pid, name))
	if err != nil {
		b.Fatal(err)
	}
	return string(content)
}

// field returns the number that follows a key in a file of the process's /proc
// directory.
func (pr *process) field(b *testing.B, file, key string) float64 {
	b.Helper()
	for ln := range strings.Lines(pr.file(b, file)) {
		fields := strings.Fields(ln)
		if len(fields) > 1 && fields[0] == key {
			return number(b, fields[1])
		}
	}
	b.Fatalf("no field %s in the /proc file %s", key, file)
	return 0
}

func number(b *testing.B, text string) float64 {
	b.Helper()
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		b.Fatal(err)
	}
	return value
}

// calls reads the call counts of the simulated store.
func (pr *process) calls(b *testing.B) kvsim.Calls {
	b.Helper()
	resp, err := http.Get("http://" + pr.address + "/standin/calls")
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	var ca kvsim.Calls
	if err := json.NewDecoder(resp.Body).Decode(&ca); err != nil {
		b.Fatal(err)
	}
	return ca
}

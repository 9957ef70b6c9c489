package procs_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHangupDuringStop sends SIGHUP to a host of a domain in the middle of its
// planned stop, while a call is still arriving. It guards against a signal that
// only tells of a changed settings file, but ends the process.
func TestHangupDuringStop(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "domain.yaml")
	callers := freeAddress(t)
	settings := fmt.Sprintf("host:\n  name: a\n  zone: z\n  region: r\n  callersAddress: %s\n  readinessAddress: %s\nstore:\n  address: %s\nlog:\n  level: info\ntiming:\n  stopGrace: 4s\n",
		callers, freeAddress(t), freeAddress(t))
	is.NoErr(os.WriteFile(file, []byte(settings), 0o600))
	pr := spawn(t, dir, "domain", "domain", file)
	var conn net.Conn
	eventually(t, "the host listens", func() (err error) {
		conn, err = net.Dial("tcp", callers)
		return err
	})
	defer conn.Close()
	_, err := conn.Write([]byte("POST /x/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n"))
	is.NoErr(err)
	eventually(t, "the signal handler is installed", func() error {
		pr.signal(t, syscall.SIGHUP)
		if !pr.logContains("event=reload") {
			return fmt.Errorf("no reload in the log")
		}
		return nil
	})
	pr.signal(t, syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond) // into the stop
	pr.signal(t, syscall.SIGHUP)
	<-pr.done
	is.True(pr.code >= 0) // it exited by itself
}

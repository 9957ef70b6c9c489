package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case: what was sent, answered and run.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
}

// newRecord creates the file of a record.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{began: time.Now(), file: file}, err
}

// write adds a line with the time since the case began.
func (rec *record) write(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(rec.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(rec.file, line)
	fmt.Println(line)
}

// at returns a time as seconds since the case began.
func (rec *record) at(when time.Time) string {
	return fmt.Sprintf("%.3f", when.Sub(rec.began).Seconds())
}

func (rec *record) close() { _ = rec.file.Close() }

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, and to standard output.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// note writes a line with the time since the start in seconds.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

func (r *record) close() {
	_ = r.file.Close()
}

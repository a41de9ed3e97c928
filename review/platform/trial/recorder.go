package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what is sent, answered and run, with the seconds since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, out: bufio.NewWriter(file), began: time.Now()}, nil
}

func (r *recorder) log(format string, args ...any) {
	line := fmt.Sprintf("%9.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.out, line)
	_ = r.out.Flush()
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// since returns the seconds from the start of the record to a time.
func (r *recorder) since(at time.Time) float64 { return at.Sub(r.began).Seconds() }

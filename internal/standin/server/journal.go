package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"

	"github.com/rotisserie/eris"
)

// Run records one execution of a request.
type Run struct {
	ID  string `json:"id"`
	Key string `json:"key,omitempty"`
	URI string `json:"uri"`
	// Ended is set if the request ran to completion.
	Ended bool `json:"ended"`
	// Canceled is set if the request was cancelled while it ran.
	Canceled bool `json:"canceled"`
}

// Journal lists every request that a server ran. The zero value is ready to use.
type Journal struct {
	mu   sync.Mutex
	runs []Run
	file *os.File
}

func (j *Journal) open(path string) error {
	if path == "" {
		return nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrapf(err, "open journal %s", path)
	}
	j.file = file
	return nil
}

func (j *Journal) begin(r *http.Request, _ []byte) int {
	run := Run{ID: r.Header.Get("Request-Id"), Key: r.Header.Get("Idempotency-Key"), URI: r.URL.RequestURI()}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, run)
	if j.file != nil {
		// Written before the request runs, so that runs that end in a crash are
		// recorded.
		_, _ = fmt.Fprintf(j.file, "run id=%s key=%s uri=%s\n", run.ID, run.Key, run.URI)
	}
	return len(j.runs) - 1
}

func (j *Journal) end(i int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[i].Ended = !j.runs[i].Canceled
}

func (j *Journal) cancel(i int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[i].Canceled = true
}

// Runs returns a copy of the journal.
func (j *Journal) Runs() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Run(nil), j.runs...)
}

func (j *Journal) serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(j.Runs())
}

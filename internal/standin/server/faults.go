package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
)

// faults holds the fault switches and counts how often each fault was injected. The
// switches are slow (factor of the run time), fail (status 500), shed (status 503) and
// lie (GET /health reports a draining server as healthy).
type faults struct {
	mu       sync.Mutex
	switches map[string]int
	counts   map[string]int
}

// SetFault sets a fault switch. Zero turns the fault off.
func (s *Server) SetFault(name string, value int) { s.faults.put(name, value) }

// FaultCount returns how often a fault has been injected.
func (s *Server) FaultCount(name string) int {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	return s.faults.counts[name]
}

func (f *faults) put(name string, value int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.switches == nil {
		f.switches = make(map[string]int)
	}
	f.switches[name] = value
}

func (f *faults) get(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.switches[name]
}

func (f *faults) count(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = make(map[string]int)
	}
	f.counts[name]++
}

func (f *faults) serveSet(w http.ResponseWriter, r *http.Request) {
	value, err := strconv.Atoi(r.URL.Query().Get("value"))
	if err != nil {
		http.Error(w, "value must be a whole number", http.StatusBadRequest)
		return
	}
	f.put(r.PathValue("name"), value)
}

func (f *faults) serveCounts(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(f.counts)
}

// Package store is a stand-in for the table service and the object store that
// internal/store sends requests to: an HTTP server that keeps values with ETags by
// key. It holds all data in memory, injects faults on request and counts them.
package store

import (
	"encoding/json"
	"net/http"
	"strings"
)

// Handler serves the two services under /table and /object, and the fault switches
// and counters of the stand-in under /fault and /counts. The zero value is ready to
// use.
type Handler struct {
	Table  Service
	Object Service
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	root, key, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch root {
	case "table":
		h.Table.serve(w, r, key, true)
	case "object":
		h.Object.serve(w, r, key, false)
	case "fault":
		h.serveFault(w, r)
	case "counts":
		writeJSON(w, map[string]Counts{"table": h.Table.Counts(), "object": h.Object.Counts()})
	default:
		http.Error(w, "use /table, /object, /fault or /counts", http.StatusNotFound)
	}
}

// serveFault sets the fault switches that the query contains, for both services or
// for the one that the parameter "target" selects. It answers with the switches of
// both services.
func (h *Handler) serveFault(w http.ResponseWriter, r *http.Request) {
	targets := map[string]*Service{"table": &h.Table, "object": &h.Object}
	query := r.URL.Query()
	if name := query.Get("target"); name != "" {
		s, ok := targets[name]
		if !ok {
			http.Error(w, "target must be table or object", http.StatusBadRequest)
			return
		}
		targets = map[string]*Service{name: s}
	}
	query.Del("target")
	if r.Method != http.MethodGet {
		for _, s := range targets {
			f, err := s.Fault().parse(query)
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			s.SetFault(f)
		}
	}
	writeJSON(w, map[string]Fault{"table": h.Table.Fault(), "object": h.Object.Fault()})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

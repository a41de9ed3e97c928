package store

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Service is the table service or the object store. The zero value is ready to use.
type Service struct {
	mu         sync.Mutex
	items      map[string]item
	writeCount uint64
	fault      Fault
	// changed is closed when the fault switches change.
	changed                   chan struct{}
	writeLimiter, readLimiter *rate.Limiter
	operationCounts           map[string]int
	faultCounts               map[string]int
}

type item struct {
	value       []byte
	contentType string
	tag         string
}

// listEntry is one element of a listing. Entries of the table include the value;
// those of the object store only its size.
type listEntry struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Size  int    `json:"size"`
	Tag   string `json:"etag"`
}

// serve handles one request for a key, or for a listing if the key is empty. Listings
// include the values if values is true.
func (s *Service) serve(w http.ResponseWriter, r *http.Request, key string, values bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	write := r.Method == http.MethodPut || r.Method == http.MethodDelete
	if !s.injectFaults(w, r, write) {
		return
	}
	switch {
	case r.Method == http.MethodGet && key == "":
		s.list(w, r.URL.Query().Get("prefix"), values)
	case r.Method == http.MethodGet:
		s.get(w, key)
	case write && key != "":
		s.write(w, r, key, body)
	default:
		http.Error(w, "use GET, PUT or DELETE with a key", http.StatusMethodNotAllowed)
	}
}

// injectFaults injects the faults that take effect before an operation. It reports
// whether the operation is to be run.
func (s *Service) injectFaults(w http.ResponseWriter, r *http.Request, write bool) bool {
	s.mu.Lock()
	f, changed := s.fault, s.changed
	status := 0
	switch {
	case f.Down:
		s.countFault("down")
		status = http.StatusServiceUnavailable
	case f.Silent:
		s.countFault("silent")
	case s.isThrottled(write):
		s.countFault("throttled")
		status = http.StatusTooManyRequests
	case f.Slow > 0:
		s.countFault("slow")
	}
	s.mu.Unlock()
	switch {
	case status != 0:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "fault injected by the stand-in", status)
		return false
	case f.Silent:
		select {
		case <-r.Context().Done():
		case <-changed:
		}
		panic(http.ErrAbortHandler)
	case f.Slow > 0:
		time.Sleep(f.Slow)
	}
	return true
}

func (s *Service) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	s.countOperation("get")
	found, ok := s.items[key]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", found.tag)
	w.Header().Set("Content-Type", found.contentType)
	_, _ = w.Write(found.value)
}

func (s *Service) list(w http.ResponseWriter, prefix string, values bool) {
	s.mu.Lock()
	s.countOperation("list")
	entries := []listEntry{}
	for key, found := range s.items {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		e := listEntry{Key: key, Size: len(found.value), Tag: found.tag}
		if values {
			e.Value = found.value
		}
		entries = append(entries, e)
	}
	s.mu.Unlock()
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	writeJSON(w, entries)
}

// write applies a PUT or DELETE if its precondition holds. With the fault Lose, it
// applies the write but closes the connection instead of answering.
func (s *Service) write(w http.ResponseWriter, r *http.Request, key string, body []byte) {
	s.mu.Lock()
	s.countOperation(strings.ToLower(r.Method))
	current, exists := s.items[key]
	applies := preconditionHolds(r.Header, current, exists)
	if applies {
		s.apply(r, key, body)
		if r.Context().Err() != nil {
			s.countFault("late")
		}
	}
	tag := s.items[key].tag
	lose := applies && s.fault.Lose > 0
	if lose {
		s.fault.Lose--
		s.countFault("lost")
	}
	s.mu.Unlock()
	switch {
	case lose:
		panic(http.ErrAbortHandler)
	case !applies:
		http.Error(w, "precondition failed", http.StatusPreconditionFailed)
	default:
		w.Header().Set("ETag", tag)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Service) apply(r *http.Request, key string, body []byte) {
	if r.Method == http.MethodDelete {
		delete(s.items, key)
		return
	}
	if s.items == nil {
		s.items = map[string]item{}
	}
	s.writeCount++
	s.items[key] = item{value: body, contentType: r.Header.Get("Content-Type"), tag: fmt.Sprintf("%q", fmt.Sprint(s.writeCount))}
}

// preconditionHolds evaluates If-Match and If-None-Match (RFC 9110, section 13.1).
func preconditionHolds(header http.Header, current item, exists bool) bool {
	if header.Get("If-None-Match") == "*" && exists {
		return false
	}
	match := header.Get("If-Match")
	return match == "" || exists && (match == "*" || match == current.tag)
}

package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for a backend server.
type server struct {
	*trial
	id, service string
	slots       int
	born        int64
	// work is the shortest duration of a request.
	work time.Duration

	// outbound is the address of the node for the calls of the server.
	outbound string

	// crashed is called when a request has crashed the server; it may be nil.
	crashed func()

	mu      sync.Mutex
	state   string
	running int
	runs    map[string]int
	// began and ended are when the server began and ended its work on uploads.
	began, ended map[string]time.Time
	// crashedAt is when the server has crashed; zero if it has not.
	crashedAt time.Time
	http      *http.Server
}

// Requests of crashCaller whose paths end with crashPath or crashLaterPath crash each server
// that runs them, after crashDelay. With crashLaterPath it has sent half of an answer of
// longAnswer bytes before.
const (
	crashPath      = "/crash"
	crashLaterPath = "/crash-later"
	crashDelay     = 400 * time.Millisecond
	longAnswer     = 200_000
)

func (s *server) currentState() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == "" {
		return "ready"
	}
	return s.state
}

func (s *server) start(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.runs, s.began, s.ended = make(map[string]int), make(map[string]time.Time), make(map[string]time.Time)
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	return nil
}

func (s *server) stop() { _ = s.http.Close() }

// crash closes the server with all of its connections.
func (s *server) crash(id string) {
	s.mu.Lock()
	down := !s.crashedAt.IsZero()
	if !down {
		s.crashedAt = time.Now()
	}
	s.mu.Unlock()
	if down {
		return
	}
	s.record("server %s crashes because of %s", s.id, id)
	s.stop()
	if s.crashed != nil {
		s.crashed()
	}
}

// crashTime returns when the server has crashed; zero if it has not.
func (s *server) crashTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashedAt
}

// ran returns how often a request began to run.
func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// duration returns how long a request takes: one to five times the shortest duration, since
// servers share their machines with others.
func (s *server) duration(id string) time.Duration {
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, id) // a hash returns no error
	return s.work * time.Duration(100+sum.Sum32()%400) / 100
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", s.id)
	s.mu.Lock()
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d,100", s.running, s.slots))
	s.mu.Unlock()
	if r.URL.Path == "/health" {
		if s.currentState() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	if s.running >= s.slots {
		s.mu.Unlock()
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.runs[id]++
	s.mu.Unlock()
	if s.tally != nil {
		s.serveCalls(w, r, id)
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
		return
	}
	s.record("server %s runs %s, body of %d bytes", s.id, id, n)
	if s.crashes(w, r, id) {
		return
	}
	if strings.HasPrefix(r.URL.Path, uploadPath) {
		s.upload(w, id)
		return
	}
	time.Sleep(s.duration(id))
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	body := fmt.Sprintf("%s ran %s\n", s.id, id)
	h.Set("X-Response-Seal", "seal-"+id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// crashes crashes the server if the request does that to each server.
func (s *server) crashes(w http.ResponseWriter, r *http.Request, id string) bool {
	later := strings.HasSuffix(r.URL.Path, crashLaterPath)
	harmless := s.crashCaller != "" && s.crashCaller != r.Header.Get("X-Caller-Service")
	if harmless || !later && !strings.HasSuffix(r.URL.Path, crashPath) {
		return false
	}
	if later {
		w.Header().Set("X-Response-Seal", "seal-"+id)
		w.Header().Set("Content-Length", strconv.Itoa(longAnswer))
		_, _ = w.Write(make([]byte, longAnswer/2))
		_ = http.NewResponseController(w).Flush()
		s.record("server %s has sent %d of %d bytes of the answer to %s", s.id, longAnswer/2, longAnswer, id)
	}
	time.Sleep(crashDelay) // it has begun, and a client that leaves does not end it
	s.crash(id)
	return true
}

// Uploads take usualWork, and longWork for one of longEvery. In the disruption the first part of
// the answer to a long one is sent at once, and the server is silent until the last part.
const (
	uploadPath          = "/slot/"
	usualWork, longWork = 350 * time.Millisecond, 1500 * time.Millisecond
	longEvery           = 5
	firstPart, lastPart = 26_000, 4_000
)

// upload runs an upload. net/http sends an answer in parts as chunks.
func (s *server) upload(w http.ResponseWriter, id string) {
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, id) // a hash returns no error
	work := usualWork
	if sum.Sum32()%longEvery == 0 {
		work = longWork
	}
	s.mu.Lock()
	s.began[id] = time.Now()
	s.mu.Unlock()
	w.Header().Set("X-Response-Seal", "seal-"+id)
	first := make([]byte, firstPart)
	if work == longWork && s.trouble {
		_, _ = w.Write(first)
		_ = http.NewResponseController(w).Flush()
		first = nil
	}
	time.Sleep(work)
	_, err := w.Write(append(first, make([]byte, lastPart)...))
	s.mu.Lock()
	s.ended[id] = time.Now()
	s.running--
	s.mu.Unlock()
	s.record("server %s has ended %s after %s, error %v", s.id, id, work, err)
}

// atWork reports whether the server was at work on an upload at a time.
func (s *server) atWork(id string, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	began, ended := s.began[id], s.ended[id]
	return !began.IsZero() && began.Before(at) && (ended.IsZero() || at.Before(ended))
}

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that a server has begun to run.
type arrival struct {
	id, method, uri, server, service, origin, target, body string
	at                                                     time.Time
}

// server is a stand-in for a backend server of a service.
type server struct {
	*recorder
	id, service, addr string
	slots             int
	born              int64

	mu       sync.Mutex
	work     time.Duration
	leaving  bool
	running  int
	arrivals []arrival
	// misdirected counts the requests that named another server.
	misdirected int
	listener    net.Listener
	http        *http.Server
}

// start listens at the server's address.
func (s *server) start() error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.listener, s.http = listener, &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	s.write("server %s of service %s starts at %s", s.id, s.service, s.addr)
	return nil
}

// crash ends the server and all its connections at once.
func (s *server) crash() {
	if s.http != nil {
		_ = s.http.Close()
		s.write("server %s has ended", s.id)
	}
}

func (s *server) ran() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// ranAfter returns how many requests the server has begun to run after a time, and how
// long after it the last one.
func (s *server) ranAfter(t time.Time) (n int, longest time.Duration) {
	for _, a := range s.ran() {
		if after := a.at.Sub(t); after > 0 {
			n++
			longest = max(longest, after)
		}
	}
	return n, longest
}

func (s *server) setWork(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = d
}

func (s *server) setLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	s.mu.Lock()
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d,100", s.running, s.slots))
	if r.URL.Path == healthPath {
		h.Set("X-Instance-Id", s.id)
		leaving := s.leaving
		s.mu.Unlock()
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id, target := r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Target-Instance")
	h.Set("X-Attempt-Id", id)
	switch {
	case target != "" && target != s.id:
		s.misdirected++
		s.mu.Unlock()
		h.Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		s.mu.Unlock()
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case s.running >= s.slots:
		s.mu.Unlock()
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.arrivals = append(s.arrivals, arrival{
		id: id, method: r.Method, uri: r.RequestURI, server: s.id, service: s.service,
		origin: r.Header.Get("X-Caller-Service"), target: target, body: string(body), at: time.Now(),
	})
	work := s.work
	s.mu.Unlock()
	s.write("server %s of service %s runs request %s %s, target %q, caller's service %q", s.id, s.service, id, r.RequestURI, target, r.Header.Get("X-Caller-Service"))
	s.wait(r, work)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	answer := fmt.Sprintf("%s ran %s\n", s.id, id)
	h.Set("X-Response-Seal", "seal-of-"+id)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.Copy(w, strings.NewReader(answer)) // the caller may have left
}

// wait does the work of a request, which ends early with its connection or deadline.
func (s *server) wait(r *http.Request, work time.Duration) {
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		work = min(work, time.Duration(ms)*time.Millisecond)
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

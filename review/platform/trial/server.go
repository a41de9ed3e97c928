package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// beatInterval is that of the settings.
	beatInterval = 1500 * time.Millisecond
	// crashPart in a path crashes each server that begins to run the request; the server
	// is back after crashPause.
	crashPart  = "/crash"
	crashPause = 2 * time.Second
)

// arrival is a request that a server began to run.
type arrival struct {
	id, method, uri, caller string
	body                    int
	at                      time.Time
	// ended is when the server answered; zero if it has not.
	ended time.Time
}

// server is the backend server beside a node. It follows the platform's pages.
type server struct {
	*recorder
	machine *machine
	id      string
	slots   int
	work    time.Duration

	mu       sync.Mutex
	http     *http.Server
	running  int
	arrivals []arrival
	crashes  []time.Time
	state    string
	born     int64
	seq      int
	stopped  bool
	// silent is set when the server sends no more heartbeats.
	silent bool
}

// start starts a new incarnation with the same ID.
func (s *server) start() error {
	listener, err := net.Listen("tcp", s.machine.ip+":8147")
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return listener.Close()
	}
	s.http = &http.Server{Handler: s}
	s.state, s.born, s.seq, s.running = "ready", time.Now().UnixMilli(), 0, 0
	go func(h *http.Server) { _ = h.Serve(listener) }(s.http)
	go s.beat(s.born)
	return nil
}

// stop ends the server for good.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.http != nil {
		_ = s.http.Close()
	}
}

// crash ends the server as a kill of its process does, and starts it again later.
func (s *server) crash(id string) {
	s.mu.Lock()
	cut := s.running - 1
	s.crashes = append(s.crashes, time.Now())
	s.born = 0
	_ = s.http.Close()
	s.mu.Unlock()
	s.log("%s: server crashes on request %s, with %d others at work", s.machine.name, id, cut)
	time.AfterFunc(crashPause, func() {
		if err := s.start(); err != nil {
			s.log("%s: server cannot start again: %v", s.machine.name, err)
			return
		}
		s.log("%s: server is back", s.machine.name)
	})
}

// beat sends heartbeats while the incarnation lives.
func (s *server) beat(born int64) {
	for {
		s.mu.Lock()
		alive := s.born == born && !s.stopped
		send := alive && !s.silent
		state := s.state
		if send {
			s.seq++
		}
		seq := s.seq
		s.mu.Unlock()
		if !alive {
			return
		}
		if send {
			s.report("heartbeat", state, seq, born)
		}
		time.Sleep(beatInterval)
	}
}

// report sends a heartbeat or deregisters, and reports whether it was acknowledged.
func (s *server) report(verb, state string, seq int, born int64) bool {
	body, err := json.Marshal(map[string]any{
		"service": service, "address": s.machine.ip + ":8147", "zone": "poa-a", "version": "v1", "slots": s.slots,
		"state": state, "coldLeft": "0ms", "seq": seq, "born": born,
	})
	if err != nil {
		return false
	}
	client := &http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+s.machine.ip+":8146/api/instances/"+s.id+"/"+verb, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// runs returns the requests that the server began to run.
func (s *server) runs() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	s.mu.Lock()
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d,100", s.running, s.slots))
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", s.id)
		if s.state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		s.mu.Unlock()
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", id)
	target := r.Header.Get("X-Target-Instance")
	status := 0
	switch {
	case id == "":
		status = http.StatusBadRequest
	case target != "" && target != s.id:
		h.Set("X-Instance-Id", s.id)
		status = http.StatusMisdirectedRequest
	case s.running >= s.slots:
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		s.mu.Unlock()
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	s.running++
	run := len(s.arrivals)
	s.arrivals = append(s.arrivals, arrival{
		id: id, method: r.Method, uri: r.RequestURI, caller: r.Header.Get("X-Caller-Service"), body: len(body), at: time.Now(),
	})
	work, born, state := s.work, s.born, s.state
	s.mu.Unlock()
	s.log("%s: server %s (%s) runs %s: %s %s, body of %d bytes with digest %08x", s.machine.name, s.id, state, id, r.Method, r.RequestURI, len(body), digest(body))
	if strings.Contains(r.URL.Path, crashPart) {
		s.crash(id)
		return
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
	}
	s.mu.Lock()
	if s.born == born {
		s.running--
	}
	s.arrivals[run].ended = time.Now()
	s.mu.Unlock()
	text := []byte(s.id + " ran " + id + "\n")
	h.Set("X-Response-Seal", fmt.Sprintf("seal.%s", id))
	h.Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = w.Write(text)
}

func digest(body []byte) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write(body)
	return hash.Sum32()
}

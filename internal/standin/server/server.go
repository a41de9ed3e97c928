// Package server is a stand-in for a backend server. Its behaviour is chosen
// by the query of each request and by switches under /fault. It keeps a
// journal of every request that it ran.
package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Server is one backend server. Set the exported fields before Start.
type Server struct {
	Service string
	// Slots is how many requests run at once; others wait inside the server.
	Slots int
	// Announce is the announce address (IP:port) of the node beside it.
	Announce string
	// Advertise is the address to announce; empty means the one in use.
	Advertise string
	// Entry is the caller address of a node, for chains of calls.
	Entry string
	// Delay is the usual time of a request.
	Delay time.Duration
	// JournalPath is a file that survives a crash of the process; empty keeps
	// the journal in memory only.
	JournalPath string
	// Crash ends the process; nil closes the listener and all connections.
	Crash func()

	Journal Journal
	faults  faults

	http     *http.Server
	listener net.Listener
	slots    chan struct{}
	running  atomic.Int32
	state    atomic.Value // string: ready, draining
	stop     context.CancelFunc
	done     sync.WaitGroup
	client   http.Client
}

// Start listens on addr and announces the server to its node.
func (s *Server) Start(addr string) error {
	if s.Slots == 0 {
		s.Slots = 12
	}
	s.slots = make(chan struct{}, s.Slots)
	s.state.Store("ready")
	if err := s.Journal.open(s.JournalPath); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen on %s; choose a free port", addr)
	}
	s.listener = listener
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.handle)
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /journal", s.Journal.serve)
	mux.HandleFunc("POST /fault/{name}", s.faults.set)
	mux.HandleFunc("GET /counts", s.faults.serveCounts)
	mux.HandleFunc("POST /drain", func(http.ResponseWriter, *http.Request) { s.Drain() })
	s.http = &http.Server{Handler: mux}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go func() { _ = s.http.Serve(listener) }()
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		s.announceLoop(ctx)
	}()
	return nil
}

// Addr returns the address in use.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Running returns the number of requests in the server.
func (s *Server) Running() int { return int(s.running.Load()) }

// Drain announces that the server is leaving; it goes on serving.
func (s *Server) Drain() {
	s.state.Store("draining")
	s.announce(context.Background())
}

// Stop drains the server, waits for quiet of at least a second without
// requests and stops.
func (s *Server) Stop(ctx context.Context) {
	s.Drain()
	poll := time.NewTicker(50 * time.Millisecond)
	defer poll.Stop()
	for quiet := 0; quiet < 20; {
		select {
		case <-poll.C:
		case <-ctx.Done():
			quiet = 20
		}
		if s.Running() == 0 {
			quiet++
		} else {
			quiet = 0
		}
	}
	s.stop()
	_ = s.http.Shutdown(ctx)
	s.done.Wait()
}

// Kill stops without any notice, as a crash does.
func (s *Server) Kill() {
	s.stop()
	_ = s.http.Close()
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if s.faults.get("lie") == 0 && s.state.Load() == "draining" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

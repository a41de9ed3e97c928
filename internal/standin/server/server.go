// Package server is a stand-in for a backend server. The query of a request and the
// switches under /fault control its behaviour. It keeps a journal of all requests
// that it ran.
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
	// Slots is the number of requests that run at once; 0 means 12. Other requests
	// wait in the server.
	Slots int
	// Announce is the announce address (IP:port) of the node beside the server.
	Announce string
	// Advertise is the address to announce. The default is the listen address.
	Advertise string
	// Entry is the caller address of a node, for chains of calls.
	Entry string
	// Delay is the default run time of a request.
	Delay time.Duration
	// JournalPath is the file to which the journal is also written, so that it
	// survives a crash of the process. If empty, the journal is kept in memory only.
	JournalPath string
	// Crash ends the process. If nil, a crash closes the listener and all connections.
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
	// born is the start of this process in Unix milliseconds.
	born int64
}

// Start listens on addr and announces the server to its node periodically.
func (s *Server) Start(addr string) error {
	if s.Slots == 0 {
		s.Slots = 12
	}
	s.slots = make(chan struct{}, s.Slots)
	s.state.Store("ready")
	s.born = time.Now().UnixMilli()
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
	mux.HandleFunc("POST /fault/{name}", s.faults.serveSet)
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

// Addr returns the listen address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Running returns the number of requests that run or wait for a slot.
func (s *Server) Running() int { return int(s.running.Load()) }

// Drain announces that the server is draining. The server continues to serve
// requests.
func (s *Server) Drain() {
	s.state.Store("draining")
	s.announce(context.Background())
}

// Stop drains the server, waits until it has had no requests for at least a second,
// and stops it.
func (s *Server) Stop(ctx context.Context) {
	s.Drain()
	poll := time.NewTicker(50 * time.Millisecond)
	defer poll.Stop()
	for idlePolls := 0; idlePolls < 20; {
		select {
		case <-poll.C:
		case <-ctx.Done():
			idlePolls = 20
		}
		if s.Running() == 0 {
			idlePolls++
		} else {
			idlePolls = 0
		}
	}
	s.stop()
	_ = s.http.Shutdown(ctx)
	s.done.Wait()
}

// Kill stops the server without draining it, like a crash.
func (s *Server) Kill() {
	s.stop()
	_ = s.http.Close()
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if s.faults.get("lie") == 0 && s.state.Load() == "draining" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

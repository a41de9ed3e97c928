package store

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Server serves a Handler on a TCP address. The zero value is ready to use.
type Server struct {
	Handler

	server   http.Server
	listener net.Listener
	done     chan error
}

// Start listens on addr and serves requests in the background.
func (s *Server) Start(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "stand-in of the store cannot listen on %s; choose a free address", addr)
	}
	s.listener, s.done = listener, make(chan error, 1)
	s.server.Handler = &s.Handler
	s.server.ReadHeaderTimeout = 10 * time.Second
	go func() { s.done <- s.server.Serve(listener) }()
	return nil
}

// URL returns the base URL for clients.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Stop closes the listener and waits for the requests in flight. Requests that are
// left unanswered by the fault Silent are aborted.
func (s *Server) Stop(ctx context.Context) error {
	for _, service := range [...]*Service{&s.Table, &s.Object} {
		f := service.Fault()
		f.Silent = false
		service.SetFault(f)
	}
	err := s.server.Shutdown(ctx)
	if serveErr := <-s.done; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return err
}

package http1

import (
	"errors"
	"time"
)

const (
	defaultIdle     = 120 * time.Second
	defaultBody     = 8 << 20
	defaultHeader   = 64 << 10
	defaultHeadTime = 10 * time.Second
	// bodyCeiling and headerCeiling bound what SetLimits may allow, in bytes. A
	// larger body would not fit the messages between nodes.
	bodyCeiling   = 64 << 20
	headerCeiling = 1 << 20
)

// Errors of requests that exceed a limit.
var (
	ErrHeaderTooLarge = errors.New("the header is over the limit")
	ErrHeaderTooSlow  = errors.New("the header took too long to arrive")
)

// Limits bound what a caller may send and how long it may take. Zero fields stand
// for the defaults.
type Limits struct {
	// Header and Body are in bytes.
	Header, Body int
	// HeadTimeout is how long a header may take from its first byte to its end.
	HeadTimeout time.Duration
	// IdleTimeout is how long a connection may be without a request.
	IdleTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.Header <= 0 {
		l.Header = defaultHeader
	}
	if l.Body <= 0 {
		l.Body = defaultBody
	}
	if l.HeadTimeout <= 0 {
		l.HeadTimeout = defaultHeadTime
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdle
	}
	l.Header = min(l.Header, headerCeiling)
	l.Body = min(l.Body, bodyCeiling)
	return l
}

// SetLimits changes the limits of the requests that follow. It may be called at
// any time.
func (s *Server) SetLimits(l Limits) {
	l = l.withDefaults()
	s.limits.Store(&l)
}

func (s *Server) current() *Limits { return s.limits.Load() }

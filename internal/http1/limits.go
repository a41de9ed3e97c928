package http1

import (
	"errors"
	"time"
)

const (
	defaultIdleTimeout = 120 * time.Second
	defaultBody        = 8 << 20
	defaultHeader      = 64 << 10
	defaultHeadTimeout = 10 * time.Second
	defaultBodySpan    = 30 * time.Second
	// minBodyRate is the lowest rate of a body in bytes per second. A slow mobile path
	// has ten times as much.
	minBodyRate = 1 << 10
	// maxBodyLimit and maxHeaderLimit are the largest limits that SetLimits accepts,
	// in bytes. A larger body would not fit into the messages between nodes.
	maxBodyLimit   = 64 << 20
	maxHeaderLimit = 1 << 20
)

// Errors for requests that exceed a limit.
var (
	ErrHeaderTooLarge = errors.New("the header is over the limit")
	ErrHeaderTooSlow  = errors.New("the header took too long to arrive")
	ErrBodyTooSlow    = errors.New("the body arrives too slowly")
)

// Limits are the limits on the requests of callers. Zero fields mean the defaults.
type Limits struct {
	// Header and Body are the maximum sizes in bytes.
	Header, Body int
	// HeadTimeout is the maximum time from the first byte of a header to its end.
	HeadTimeout time.Duration
	// BodySpan is the time over which the rate of a body is measured.
	BodySpan time.Duration
	// IdleTimeout is the maximum time that a connection stays open without a request.
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
		l.HeadTimeout = defaultHeadTimeout
	}
	if l.BodySpan <= 0 {
		l.BodySpan = defaultBodySpan
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	l.Header = min(l.Header, maxHeaderLimit)
	l.Body = min(l.Body, maxBodyLimit)
	return l
}

// SetLimits changes the limits for subsequent requests. It may be called at any
// time.
func (s *Server) SetLimits(l Limits) {
	l = l.withDefaults()
	s.limits.Store(&l)
}

func (s *Server) currentLimits() *Limits { return s.limits.Load() }

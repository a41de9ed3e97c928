package roster

import (
	"slices"
	"time"
)

// Report is the state that a backend server reports, or that a probe has found.
type Report struct {
	ID string
	// Service and Addr are the server's own; empty where they are not known.
	Service, Addr string
	State         State
	Slots         int
	// StartTime is when the server started; it orders servers at one address.
	StartTime int64
	// Seq orders the reports of one server.
	Seq int64
	// WarmUp is how long the server will still be slow after its start.
	WarmUp time.Duration
}

// Verdict is what became of a report.
type Verdict uint8

const (
	// Late means that the report is older than what is known, and has changed nothing.
	Late Verdict = iota
	// Taken means that the report is in force.
	Taken
	// Foreign means that the report is not from the server of this host.
	Foreign
)

// Server tracks the backend server beside a node by its reports. A report may arrive late,
// also from a server that has since been replaced at the address, and the first one that
// arrives of a server may be that of its leaving. The zero value knows no server.
type Server struct {
	// Report is the newest one. Its start time outlasts the server and never decreases,
	// because later servers at the address have later ones.
	Report
	// left holds the leavings that were taken in, oldest first, at most maxLeft.
	left []departure
	// leaving is set when the server itself has reported that it is leaving or gone. It
	// never returns from that.
	leaving bool
}

// departure is the leaving of one server.
type departure struct {
	id string
	// startTime is zero if the leaving did not state it.
	startTime int64
	at        time.Time
}

const (
	// MaxReportDelay is the maximum delay of a report; heartbeats may be seconds late.
	MaxReportDelay = 30 * time.Second
	// maxLeft bounds the leavings that are remembered. Servers at one address follow each
	// other after seconds.
	maxLeft = 16
)

// covers reports whether a report is from the server that has left. If a start time is not
// known, the time of the leaving stands in for it: the server started before that, unless
// the clock of this host was ahead.
func (d departure) covers(r Report, now time.Time) bool {
	switch {
	case d.id != r.ID:
		return false
	case d.startTime != 0 && r.StartTime != 0:
		return r.StartTime <= d.startTime
	default:
		return r.StartTime <= d.at.UnixMilli() && now.Sub(d.at) < MaxReportDelay
	}
}

// Apply applies a report and returns whether it changed what other nodes need to
// know. stale is set if the report is older than the known state and was not taken in.
func (s *Server) Apply(r Report, now time.Time) (changed, stale bool) {
	if s.leaving && r.State != Ready && s.isSame(r) {
		return false, false // a repeat
	}
	if s.IsStale(r, now) {
		return false, true
	}
	old := s.Report
	s.Report, s.leaving = r, r.State == Draining || r.State == Gone
	if s.leaving {
		s.remember(departure{id: r.ID, startTime: r.StartTime, at: now})
	}
	return old.ID != r.ID || old.State != r.State || old.Slots != r.Slots || old.StartTime != 0 && old.StartTime != r.StartTime, false
}

// isSame reports whether a report is from the known process.
func (s *Server) isSame(r Report) bool {
	return s.ID != "" && r.ID == s.ID && r.StartTime == s.StartTime
}

// IsStale reports whether a report is older than what is known.
func (s *Server) IsStale(r Report, now time.Time) bool {
	if r.StartTime == 0 && s.StartTime != 0 {
		return true // servers that state their start do so in every report
	}
	switch {
	case s.HasLeft(r, now):
		return true
	case r.State != Ready && s.Doubtful(r, now):
		return true
	case s.StartTime == 0 && r.StartTime != 0:
		return false
	case r.StartTime != s.StartTime:
		return r.StartTime < s.StartTime
	case r.ID != s.ID || r.State != Ready:
		return false
	default:
		return r.Seq < s.Seq
	}
}

// HasLeft reports whether a report is from a server whose leaving was taken in.
func (s *Server) HasLeft(r Report, now time.Time) bool {
	return slices.ContainsFunc(s.left, func(d departure) bool { return d.covers(r, now) })
}

// Doubtful reports whether a report may be from before or from after the server that was the
// last to leave, because that one did not state its start. Only a probe can tell which
// server is at the address.
func (s *Server) Doubtful(r Report, now time.Time) bool {
	for _, d := range s.left {
		if d.startTime == 0 && d.id != r.ID && r.StartTime <= d.at.UnixMilli() && now.Sub(d.at) < MaxReportDelay {
			return true
		}
	}
	return false
}

// remember adds a leaving. It replaces an earlier report of it without the start time.
func (s *Server) remember(d departure) {
	if n := len(s.left); n > 0 && s.left[n-1].id == d.id && s.left[n-1].startTime == 0 {
		s.left[n-1] = d
		return
	}
	if len(s.left) == maxLeft {
		s.left = s.left[1:]
	}
	s.left = append(s.left, d)
}

// Find records the server that a probe has found. It keeps the leavings.
func (s *Server) Find(r Report) {
	r.StartTime = max(r.StartTime, s.StartTime)
	s.Report, s.leaving = r, false
}

// Vacate records that another server, which has not reported, is at the address.
func (s *Server) Vacate() {
	if s.leaving {
		s.State = Gone
		return
	}
	s.Report = Report{StartTime: s.StartTime}
}

// Leaving reports whether the server itself has reported that it is leaving or gone.
// A failed health check does not count.
func (s *Server) Leaving() bool { return s.leaving }

// Displace records that a probe has found a server at the address whose report counts as
// older than the known one: the clock of the host has gone back. The leavings are kept.
func (s *Server) Displace() { s.Report, s.leaving = Report{}, false }

// LeftAt returns when the last leaving was taken in.
func (s *Server) LeftAt() time.Time {
	if len(s.left) == 0 {
		return time.Time{}
	}
	return s.left[len(s.left)-1].at
}

// LeftStart returns the start time of the server that was the last to leave; zero if it is
// not known.
func (s *Server) LeftStart() int64 {
	if len(s.left) == 0 {
		return 0
	}
	return s.left[len(s.left)-1].startTime
}

// MarkGone marks the server as gone, because it has deregistered; a start time of zero is
// not known. A later server than the known one may deregister before its first report
// arrives. MarkGone returns false, and changes nothing, if the server is neither the known
// one nor a later one.
func (s *Server) MarkGone(id string, startTime int64, now time.Time) bool {
	known := s.ID == "" || s.ID == id
	switch {
	case known && (startTime == 0 || s.StartTime == 0):
	case known && startTime >= s.StartTime:
	case s.StartTime != 0 && startTime > s.StartTime:
	default:
		return false
	}
	if s.ID != id {
		s.Report = Report{ID: id, StartTime: s.StartTime}
	}
	s.State, s.leaving = Gone, true
	s.StartTime = max(s.StartTime, startTime)
	s.remember(departure{id: id, startTime: startTime, at: now})
	return true
}

package roster

import "time"

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

// Server tracks the backend server beside a node by its reports. A report may arrive
// late, from a server that has since been replaced at its address. The zero value
// knows no server.
type Server struct {
	Report
	// goneAt is when the server deregistered, if its start time was unknown; zero
	// otherwise.
	goneAt time.Time
	// leaving is set when the server itself has reported that it is leaving or gone.
	leaving bool
}

// MaxReportDelay is the maximum delay of a report; heartbeats may be seconds late.
const MaxReportDelay = 30 * time.Second

// Apply applies a report and returns whether it changed what other nodes need to
// know. stale is set if the report is older than the known state.
func (s *Server) Apply(r Report, now time.Time) (changed, stale bool) {
	if s.isStale(r, now) {
		return false, true
	}
	old := s.Report
	s.Report, s.goneAt, s.leaving = r, time.Time{}, r.State == Draining
	return old.ID != r.ID || old.State != r.State || old.Slots != r.Slots || old.StartTime != 0 && old.StartTime != r.StartTime, false
}

func (s *Server) isStale(r Report, now time.Time) bool {
	if !s.goneAt.IsZero() && r.ID == s.ID {
		return r.StartTime <= s.goneAt.UnixMilli() && now.Sub(s.goneAt) < MaxReportDelay
	}
	if r.StartTime != s.StartTime && r.StartTime != 0 && s.StartTime != 0 {
		return r.StartTime < s.StartTime
	}
	if r.ID != s.ID {
		return r.StartTime == 0 && s.StartTime != 0
	}
	return r.Seq < s.Seq || s.State == Gone && r.State != Gone && r.StartTime == s.StartTime && s.StartTime != 0
}

// Vacate records that another server, which has not reported, is at the address. The start
// time is kept, because later servers have later ones, and so is a leaving.
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

// MarkGone marks the server as gone, because it has deregistered. If no server is
// known yet, the deregistration is kept for the server that it names. It returns
// false if that is not the current server.
func (s *Server) MarkGone(id string, startTime int64, now time.Time) bool {
	if s.ID == "" {
		s.ID = id
	}
	if id != s.ID || startTime != 0 && s.StartTime != 0 && startTime != s.StartTime {
		return false
	}
	s.State, s.leaving = Gone, true
	if s.StartTime == 0 {
		s.StartTime = startTime
	}
	if s.StartTime == 0 {
		// A heartbeat that is still in flight must not bring the server back. A
		// restarted server has a later start time, unless the clock of this host was
		// ahead at the deregistration.
		s.goneAt = now
	}
	return true
}

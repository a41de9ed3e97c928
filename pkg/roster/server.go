package roster

import "time"

// Report is what a backend server says of itself.
type Report struct {
	ID    string
	State State
	Slots int
	// StartTime is when the server started; it orders servers at one address.
	StartTime int64
	// Seq orders the reports of one server.
	Seq int64
	// WarmUp is how long the server will still be slow after its start.
	WarmUp time.Duration
}

// Server follows the reports of the backend server beside a node: a report may
// arrive late, from a server that has been replaced at its address since. The
// zero value knows no server.
type Server struct {
	Report
	// left is when the server said that it was gone, where nothing told when it had
	// started; zero otherwise.
	left time.Time
	// leaving is set when the server itself has said that it leaves or is gone.
	leaving bool
}

// lateReport is how late a report may arrive; heartbeats come seconds late.
const lateReport = 30 * time.Second

// Apply applies a report and reports whether it changed what other nodes need to
// know; stale is set when the report is older than what is known.
func (s *Server) Apply(r Report, now time.Time) (changed, stale bool) {
	if s.ID != "" && s.older(r, now) {
		return false, true
	}
	old := s.Report
	s.Report, s.left, s.leaving = r, time.Time{}, r.State == Draining
	return old.ID != r.ID || old.State != r.State || old.Slots != r.Slots || old.StartTime != 0 && old.StartTime != r.StartTime, false
}

func (s *Server) older(r Report, now time.Time) bool {
	if !s.left.IsZero() && r.ID == s.ID {
		return r.StartTime <= s.left.UnixMilli() && now.Sub(s.left) < lateReport
	}
	if r.StartTime != s.StartTime && r.StartTime != 0 && s.StartTime != 0 {
		return r.StartTime < s.StartTime
	}
	if r.ID != s.ID {
		return r.StartTime == 0 && s.StartTime != 0
	}
	return r.Seq < s.Seq || s.State == Gone && r.State != Gone && r.StartTime == s.StartTime && s.StartTime != 0
}

// Leaving reports whether the server itself has said that it leaves or is gone. A
// server that was only found ill has not.
func (s *Server) Leaving() bool { return s.leaving }

// MarkGone marks the server as gone; where none is known yet, a farewell is kept for
// the server that it names. It reports false for a server that is not the present
// one.
func (s *Server) MarkGone(id string, born int64, now time.Time) bool {
	if s.ID == "" {
		s.ID = id
	}
	if id != s.ID || born != 0 && s.StartTime != 0 && born != s.StartTime {
		return false
	}
	s.State, s.leaving = Gone, true
	if s.StartTime == 0 {
		s.StartTime = born
	}
	if s.StartTime == 0 {
		// A heartbeat that is still under way must not bring it back. One that starts
		// again is born later, unless the clock of this host was ahead at the farewell.
		s.left = now
	}
	return true
}

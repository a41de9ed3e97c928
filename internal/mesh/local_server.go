package mesh

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/roster"
)

func (f *far) found(id string, healthy bool) {
	f.mu.Lock()
	news := f.server.ID != id
	f.back(news)
	if news {
		state := roster.Draining
		if healthy {
			state = roster.Ready
		}
		f.server = roster.Server{Report: roster.Report{ID: id, State: state, Slots: f.gate.Limit.Slots()}}
		f.gate.SetClosed(!healthy)
	}
	f.mu.Unlock()
	f.Log.WithField("server", id).WithField("healthy", healthy).Info("backend server answers")
	if news {
		f.changed()
	}
}

// back notes that the server takes connections. It is called with the lock.
func (f *far) back(replaced bool) {
	if replaced || f.lost {
		f.gate.Restarted()
	}
	f.lost = false
}

func (f *far) report(r roster.Report) bool {
	f.mu.Lock()
	old := f.server
	changed, stale := f.server.Apply(r, time.Now())
	if stale {
		f.mu.Unlock()
		return false
	}
	f.back(old.ID != r.ID || old.StartTime != 0 && old.StartTime != r.StartTime)
	f.gate.SetClosed(r.State != roster.Ready)
	if r.Slots > 0 && f.gate.Limit.Slots() == 0 {
		f.gate.Limit.SetSlots(r.Slots)
	}
	f.mu.Unlock()
	if changed {
		f.Log.WithField("server", r.ID).WithField("state", string(r.State)).WithField("slots", r.Slots).
			WithField("seq", r.Seq).WithField("warm", r.WarmUp).Info("backend server reported")
		f.changed()
	}
	return true
}

// left is called when a server says that it is gone.
func (f *far) left(id string, born int64) {
	f.mu.Lock()
	known := f.server.MarkGone(id, born, time.Now())
	if known {
		f.gate.SetClosed(true)
	}
	f.mu.Unlock()
	if known {
		f.Log.WithField("server", id).Info("backend server left")
		f.changed()
	}
}

func (f *far) closed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.server.State == roster.Gone
}

// known reports whether the server has told its name.
func (f *far) known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.server.ID != ""
}

// describe writes what other nodes need to know of the server.
func (f *far) describe(e *roster.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.Limit = f.gate.Limit.Current()
	e.Server, e.State, e.Slots, e.WarmUp = f.server.ID, f.server.State, f.gate.Limit.Slots(), f.server.WarmUp
	e.Leaving = f.server.Leaving()
	if e.Slots == 0 {
		e.Slots = f.server.Slots
	}
}

// limit returns the concurrency that is allowed at the moment.
func (f *far) limit() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gate.Limit.Current()
}

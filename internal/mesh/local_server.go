package mesh

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/roster"
)

// serverFound records the server that answered a probe, and applies its report that was
// held back until then. The answer does not name the server's service, and the address may
// belong to a server of another one by now: a server that is not known to be of this
// service gets requests after its first report.
func (p *serverProxy) serverFound(id string, healthy bool) {
	p.mu.Lock()
	var confirmed *roster.Report
	if healthy {
		p.confirmed, p.confirmedAt = id, time.Now()
		if p.held != nil && p.held.ID == id {
			confirmed, p.held = p.held, nil
		}
	}
	replaced := p.server.ID != id
	trusted := !replaced || p.trusts(id)
	p.markUp(replaced)
	switch {
	case confirmed != nil && replaced:
		p.server.Displace()
	case !trusted:
		p.vacate()
	case replaced:
		state := roster.Draining
		if healthy {
			state = roster.Ready
		}
		p.settled = true
		p.server.Find(roster.Report{ID: id, State: state, Slots: p.limiter.Limit.Slots()})
		p.limiter.SetClosed(!healthy)
	}
	p.mu.Unlock()
	p.Log.WithField("server", id).WithField("healthy", healthy).WithField("trusted", trusted).Info("backend server answers")
	if replaced {
		p.changed()
	}
	if confirmed != nil {
		p.report(*confirmed)
	}
}

// trusts reports whether a server that has not reported yet is of this node's service. The
// caller holds p.mu.
func (p *serverProxy) trusts(id string) bool {
	return id == p.expected || p.Fresh && !p.settled
}

// vacate records that the known server is not at its address any more. Requests that wait
// for it are handed back. The caller holds p.mu.
func (p *serverProxy) vacate() {
	p.server.Vacate()
	p.limiter.SetClosed(true)
	p.limiter.Tick(time.Now())
}

// expect takes over the server from the entry of an earlier process of this node.
func (p *serverProxy) expect(e roster.Entry) {
	p.mu.Lock()
	accept := !p.settled && e.Server != "" && e.Service == p.backend().Service
	if accept {
		p.expected = e.Server
	}
	p.mu.Unlock()
	if accept {
		go p.confirm()
	}
}

// holdBack keeps a report that may be older than what is known, until the server itself has
// answered that it is healthy: one that may have been sent before this process started, and
// one that may be from before the last leaving. The caller holds p.mu.
func (p *serverProxy) holdBack(r roster.Report, now time.Time) bool {
	if r.State != roster.Ready || p.server.IsStale(r, now) {
		return false
	}
	fromBefore := now.Before(p.doubtUntil) && p.confirmed != r.ID
	beforeLeaving := p.server.Doubtful(r, now) && (p.confirmed != r.ID || p.confirmedAt.Before(p.server.LeftAt()))
	if !fromBefore && !beforeLeaving {
		return false
	}
	if h := p.held; h == nil || h.ID != r.ID || h.StartTime != r.StartTime || h.Seq < r.Seq {
		p.held = &r
	}
	return true
}

// confirm asks the server whether it is healthy.
func (p *serverProxy) confirm() {
	p.mu.Lock()
	path := p.healthPath
	p.mu.Unlock()
	if path == "" {
		return // findServer asks as soon as the path is known
	}
	if id, healthy := p.probe(path); id != "" {
		p.serverFound(id, healthy)
	}
}

// trust ends the doubt about reports, and applies the one that was held back.
func (p *serverProxy) trust() {
	p.mu.Lock()
	held := p.held
	p.held, p.doubtUntil = nil, time.Time{}
	p.mu.Unlock()
	if held != nil {
		p.report(*held)
	}
}

// markUp records that the server accepts connections. The caller holds p.mu.
func (p *serverProxy) markUp(replaced bool) {
	if replaced || p.down {
		p.limiter.Restarted()
	}
	p.down = false
}

// report processes a report of the server.
func (p *serverProxy) report(r roster.Report) roster.Verdict {
	p.mu.Lock()
	if b := p.backend(); (r.Service != "" || r.Addr != "") && (r.Service != b.Service || r.Addr != b.Addr) {
		p.mu.Unlock()
		return roster.Foreign
	}
	if p.holdBack(r, time.Now()) {
		p.mu.Unlock()
		p.Log.WithField("server", r.ID).WithField("seq", r.Seq).Info("report held back until the backend server confirms it")
		go p.confirm()
		return roster.Taken
	}
	p.settled = true
	old := p.server
	changed, stale := p.server.Apply(r, time.Now())
	if stale {
		// Unless the clock of the host has gone back, its server has another name by now.
		ask := r.State == roster.Ready && r.ID != p.server.ID && !p.server.HasLeft(r, time.Now())
		if ask {
			p.held = &r
		}
		p.mu.Unlock()
		if ask {
			go p.confirm()
		}
		return roster.Late
	}
	p.markUp(old.ID != r.ID || old.StartTime != 0 && old.StartTime != r.StartTime)
	p.limiter.SetClosed(r.State != roster.Ready)
	if r.Slots > 0 && p.limiter.Limit.Slots() == 0 {
		p.limiter.Limit.SetSlots(r.Slots)
	}
	p.mu.Unlock()
	if changed {
		p.Log.WithField("server", r.ID).WithField("state", string(r.State)).WithField("slots", r.Slots).
			WithField("seq", r.Seq).WithField("warm", r.WarmUp).Info("backend server reported")
		p.changed()
	}
	return roster.Taken
}

// deregister marks the server with the given name and start time as gone. It returns
// false if that is neither the current server nor a later one.
func (p *serverProxy) deregister(id string, startTime int64) bool {
	p.mu.Lock()
	old := p.server.Report
	taken := p.server.MarkGone(id, startTime, time.Now())
	changed := taken && (old.ID != id || old.State != roster.Gone || old.StartTime != p.server.StartTime)
	if taken {
		p.settled = true
		p.limiter.SetClosed(true)
	}
	p.mu.Unlock()
	if changed {
		p.Log.WithField("server", id).WithField("born", startTime).WithField("known", old.ID).WithField("known_born", old.StartTime).
			Info("backend server left")
		p.changed()
	}
	return taken
}

func (p *serverProxy) serverGone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.server.State == roster.Gone
}

// serverKnown reports whether the server's name is known.
func (p *serverProxy) serverKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.server.ID != ""
}

// describe sets the fields of an entry that describe the server.
func (p *serverProxy) describe(e *roster.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.Service = p.backend().Service
	e.Limit = p.limiter.Limit.Current()
	e.Server, e.State, e.Slots, e.WarmUp = p.server.ID, p.server.State, p.limiter.Limit.Slots(), p.server.WarmUp
	if p.crash.unknown.Load() && e.State == roster.Ready {
		e.State = roster.Absent
	}
	e.Leaving, e.Born = p.server.Leaving(), 0
	if e.Leaving {
		e.Born = p.server.LeftStart()
	}
	if e.Slots == 0 {
		e.Slots = p.server.Slots
	}
}

// limit returns the concurrency limit in force.
func (p *serverProxy) limit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Limit.Current()
}

// running reports whether the server runs a request, for which it may make calls.
func (p *serverProxy) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Running() > 0
}

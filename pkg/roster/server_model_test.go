package roster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// process is one start of a backend server at the address.
type process struct {
	id      string
	born    int64
	seq     int64
	leaving bool
	// acknowledged is set when the node has taken its leaving in.
	acknowledged bool
}

// message is a report or a deregistration that is under way.
type message struct {
	from *process
	Report
	deregistration bool
	sent           time.Time
}

// host models an address with one server process at a time, whose messages may arrive in
// any order, and the node beside it.
type host struct {
	server Server
	now    time.Time
	// live is nil while no server runs.
	live    *process
	started int
	// underWay are the messages that have not arrived yet.
	underWay []message
	// startless is set if deregistrations do not state the start of the server.
	startless bool
	log       []string
}

func (h *host) note(format string, args ...any) {
	h.log = append(h.log, fmt.Sprintf(format, args...))
}

func (h *host) wait(t *rapid.T) {
	h.now = h.now.Add(time.Duration(rapid.Int64Range(1, 3000).Draw(t, "wait")) * time.Millisecond)
	h.dropOld()
}

// dropOld drops messages that are later than any is.
func (h *host) dropOld() {
	var kept []message
	for _, m := range h.underWay {
		if h.now.Sub(m.sent) < MaxReportDelay {
			kept = append(kept, m)
		}
	}
	h.underWay = kept
}

func (h *host) start(t *rapid.T) {
	if h.live != nil {
		return
	}
	h.now = h.now.Add(time.Second)
	h.started++
	id := rapid.SampledFrom([]string{"a", "b", fmt.Sprintf("i%d", h.started)}).Draw(t, "id")
	h.live = &process{id: id, born: h.now.UnixMilli()}
	h.note("%s starts at %d", id, h.live.born)
}

func (h *host) crash(*rapid.T) {
	if h.live != nil {
		h.note("%s crashes", h.live.id)
		h.live = nil
	}
}

func (h *host) beat(*rapid.T) {
	if h.live != nil {
		state := Ready
		if h.live.leaving {
			state = Draining
		}
		h.send(message{Report: Report{State: state}})
	}
}

func (h *host) drain(t *rapid.T) {
	if h.live != nil {
		h.live.leaving = true
		h.beat(t)
	}
}

func (h *host) deregister(*rapid.T) {
	if h.live != nil {
		h.live.leaving = true
		h.send(message{deregistration: true})
	}
}

func (h *host) send(m message) {
	p := h.live
	p.seq++
	m.from, m.sent = p, h.now
	m.ID, m.StartTime, m.Seq, m.Slots = p.id, p.born, p.seq, 4
	if m.deregistration && h.startless {
		m.StartTime = 0
	}
	h.underWay = append(h.underWay, m)
}

func (h *host) deliver(t *rapid.T) {
	if len(h.underWay) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.underWay)-1).Draw(t, "message")
	m := h.underWay[i]
	h.underWay = append(h.underWay[:i:i], h.underWay[i+1:]...)
	h.receive(m)
}

func (h *host) receive(m message) {
	taken := false
	switch {
	case m.deregistration:
		taken = h.server.MarkGone(m.ID, m.StartTime, h.now)
	case m.State == Ready && h.server.Doubtful(m.Report, h.now) && (h.live == nil || h.live.id != m.ID):
		// A probe finds another server.
	default:
		_, stale := h.server.Apply(m.Report, h.now)
		if stale && m.State == Ready && m.ID != h.server.ID && !h.server.HasLeft(m.Report, h.now) && h.live != nil && h.live.id == m.ID {
			// A probe finds the server that the report names.
			h.server.Displace()
			_, stale = h.server.Apply(m.Report, h.now)
		}
		taken = !stale
	}
	h.note("%d: %s %d %s seq %d deregistration %v taken %v", h.now.UnixMilli(), m.ID, m.StartTime, m.State, m.Seq, m.deregistration, taken)
	if taken && (m.deregistration || m.State == Draining) {
		m.from.acknowledged = true
	}
}

// misdirected is an answer 421, or a probe that finds another name.
func (h *host) misdirected(*rapid.T) {
	if h.live == nil || h.live.id != h.server.ID {
		h.note("vacated")
		h.server.Vacate()
	}
}

// restart starts the node again, which has the entry of before.
func (h *host) restart(*rapid.T) {
	e := h.server
	h.server = Server{}
	h.note("node restarts, leaving %v", e.Leaving())
	if e.Leaving() {
		h.server.MarkGone(e.ID, e.LeftStart(), h.now)
	}
}

// Guards against every order of reports, crashes, starts, leavings and restarts of the node
// in which a server is in use after its leaving was taken in, and against one that is never
// used although it is ready.
func TestServerModel(t *testing.T) {
	for name, startless := range map[string]bool{"with start times": false, "deregistrations without": true} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				h := &host{now: time.UnixMilli(1_000_000), startless: startless}
				check := func(t *rapid.T) {
					inUse := h.live != nil && h.server.State == Ready && h.server.ID == h.live.id
					if inUse && h.live.acknowledged {
						t.Fatalf("%s is in use after its leaving was taken in:\n%v", h.live.id, h.log)
					}
				}
				t.Repeat(map[string]func(*rapid.T){
					"wait": h.wait, "start": h.start, "crash": h.crash, "beat": h.beat, "drain": h.drain,
					"deregister": h.deregister, "deliver": h.deliver, "misdirected": h.misdirected, "restart": h.restart,
					"": check,
				})
				// All messages arrive, and the next process is used.
				for len(h.underWay) > 0 {
					h.deliver(t)
					check(t)
				}
				h.crash(t)
				h.now = h.now.Add(time.Second)
				h.start(t)
				h.beat(t)
				h.receive(h.underWay[0])
				assert.Equal(t, h.server.State, Ready, "%v", h.log)
				assert.Equal(t, h.server.ID, h.live.id, "%v", h.log)
			})
		})
	}
}

// Guards against a leaving that is refused, or taken in for the wrong process.
func TestLeavingBeforeTheFirstReport(t *testing.T) {
	known := Report{ID: "a", State: Ready, StartTime: 5, Seq: 40}
	now := time.UnixMilli(1000)
	for name, c := range map[string]struct {
		id        string
		startTime int64
		taken     bool
	}{
		"same name, later start": {"a", 9, true},
		"another, later start":   {"b", 9, true},
		"earlier start":          {"a", 4, false},
		"another, earlier start": {"b", 4, false},
		"another, no start":      {"b", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var s Server
			s.Apply(known, now)
			assert.Equal(t, s.MarkGone(c.id, c.startTime, now), c.taken)
			assert.Equal(t, s.State == Ready, !c.taken)
			_, stale := s.Apply(Report{ID: c.id, State: Ready, StartTime: c.startTime, Seq: 1}, now.Add(4*time.Second))
			assert.Assert(t, stale, "its late heartbeat")
		})
	}
}

// Guards against a heartbeat without the start time, from another writer, that raises the
// sequence number above that of the server's own leaving.
func TestReportWithoutStartDoesNotHideTheLeaving(t *testing.T) {
	now := time.UnixMilli(1000)
	foreign := Report{ID: "a", State: Ready, Seq: 1000}
	own := Report{ID: "a", State: Ready, StartTime: 5, Seq: 4}
	for name, reports := range map[string][]Report{"before": {foreign, own}, "behind": {own, foreign}, "alone": {foreign}} {
		t.Run(name, func(t *testing.T) {
			var s Server
			for _, r := range reports {
				s.Apply(r, now)
			}
			_, stale := s.Apply(Report{ID: "a", State: Draining, StartTime: 5, Seq: 5}, now)
			assert.Assert(t, !stale)
			assert.Equal(t, s.State, Draining)
		})
	}
}

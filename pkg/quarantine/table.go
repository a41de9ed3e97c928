// Package quarantine finds the requests that crash the backend servers which
// run them, and keeps them from running again.
package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	maxIncidents = 256
	maxRecords   = 4096
	evictSample  = 16
)

// Table holds what one node knows. The zero value works.
//
// Invariant: no two requests that are both under suspicion were started to run
// at the same time.
//
// All times have to carry a monotonic reading, since a jump of the wall clock
// would move the ends of suspicion and quarantine.
type Table struct {
	mu        sync.Mutex
	running   []run
	epoch     uint64 // number of crashes of the local server
	records   map[Fingerprint]*record
	incidents map[uint64]known
	answered  answered
}

// run is a fingerprint on the local server.
type run struct {
	print Fingerprint
	count int
	// suspect is set if it had been in a crash before it was started.
	suspect bool
}

type known struct {
	Incident
	at time.Time
	// own is set if this node made the incident.
	own bool
}

// Check returns the verdict on a request, without starting it.
func (t *Table) Check(p Fingerprint, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdict(p, now)
}

// Start names one request that was started on the local server.
type Start struct {
	Fingerprint   Fingerprint
	Verdict Verdict
	epoch   uint64
}

// Begin starts a request on the local server if ok. It is called when the
// request has its slot, right before it is sent. A request that is not started
// with the verdict Alone waits for a suspect to end and asks again; one with
// Refuse is refused as not run. Each start is ended by End, or by Crash.
func (t *Table) Begin(p Fingerprint, now time.Time) (s Start, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s = Start{Fingerprint: p, Verdict: t.verdict(p, now), epoch: t.epoch}
	if s.Verdict == Refuse || s.Verdict == Alone && t.suspectRunning(now) {
		return s, false
	}
	i := t.find(p)
	if i < 0 {
		t.running = append(t.running, run{print: p})
		i = len(t.running) - 1
	}
	r := t.records[p]
	t.running[i].count++
	t.running[i].suspect = t.running[i].suspect || r != nil && r.crashes > 0
	return s, true
}

// End ends a request that was started; after a Crash it ends nothing. If the
// server answered the request, it is released from suspicion; released is true
// if there was any, and the caller then sends the Release to the other nodes.
func (t *Table) End(s Start, answered bool, now time.Time) (r Release, released bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := t.find(s.Fingerprint); i >= 0 && s.epoch == t.epoch {
		if t.running[i].count--; t.running[i].count == 0 {
			t.running = slices.Delete(t.running, i, i+1)
		}
	}
	if !answered {
		return Release{}, false
	}
	t.answered.add(s.Fingerprint, now)
	if k := t.records[s.Fingerprint]; k == nil || k.crashes == 0 {
		return Release{}, false
	}
	t.release(s.Fingerprint, now)
	return Release{Fingerprint: s.Fingerprint}, true
}

// Crash ends all that is running, because the local server crashed under the
// request s, and returns the incident to send to the other nodes before any
// failure is reported to a caller. Requests that the server has answered before
// are not in it. ok is false if another request of that crash was first: what runs
// now was started later and had no part in it.
func (t *Table) Crash(server string, s Start, now time.Time) (i Incident, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.epoch != t.epoch {
		return Incident{}, false
	}
	t.epoch++
	suspects := 0
	prints := make([]Fingerprint, 0, len(t.running))
	for _, r := range t.running {
		if t.answered.has(r.print, now) {
			continue
		}
		if r.suspect {
			suspects++
			prints = slices.Insert(prints, 0, r.print)
		} else {
			prints = append(prints, r.print)
		}
	}
	var lone Fingerprint
	if suspects == 1 {
		lone = prints[0]
	}
	t.running = t.running[:0]
	i = newIncident(server, t.epoch, prints[:min(len(prints), MaxFingerprints)], lone, now)
	t.merge(i, now, true)
	return i, true
}

// Merge adds an incident of another node. It is false if the incident is known
// or not valid. Merging is idempotent, and the order does not matter.
func (t *Table) Merge(i Incident, now time.Time) bool {
	if !i.Valid() || i.Age > retention {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(i, now, false)
}

// Release ends the suspicion against a request that another node saw answered.
func (t *Table) Release(r Release, now time.Time) {
	if r.Age < 0 || r.Age > retention {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.record(r.Fingerprint, now) != nil {
		t.release(r.Fingerprint, now.Add(-r.Age))
	}
}

// Incidents appends all known incidents with their ages to buf, for a node
// that joins.
func (t *Table) Incidents(now time.Time, buf []Incident) []Incident {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.incidents {
		buf = append(buf, k.WithAge(max(now.Sub(k.at), 0)))
	}
	return buf
}

// Tick forgets what is older than the retention.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, k := range t.incidents {
		if now.Sub(k.at) > retention {
			delete(t.incidents, id)
		}
	}
	for p, r := range t.records {
		if now.Sub(r.updated()) > retention {
			delete(t.records, p)
		}
	}
}

func (t *Table) merge(i Incident, now time.Time, own bool) bool {
	if _, ok := t.incidents[i.ID]; ok {
		return false
	}
	if len(t.incidents) >= maxIncidents {
		t.makeRoom()
	}
	if t.incidents == nil {
		t.incidents = make(map[uint64]known)
	}
	at := now.Add(-i.Age)
	i.Fingerprints = slices.Clone(i.Fingerprints)
	k := known{i, at, own}
	t.incidents[i.ID] = k
	for n, p := range i.Fingerprints {
		if slices.Contains(i.Fingerprints[:n], p) {
			continue
		}
		if r := t.record(p, now); r != nil {
			r.add(k)
		}
	}
	return true
}

// release counts the crashes after the release again, so that its order among
// the incidents does not matter.
func (t *Table) release(p Fingerprint, at time.Time) {
	r := t.records[p]
	if !at.After(r.released) {
		return
	}
	*r = record{print: p, released: at}
	for _, k := range t.incidents {
		if slices.Contains(k.Fingerprints, p) {
			r.add(k)
		}
	}
}

func (t *Table) find(p Fingerprint) int {
	return slices.IndexFunc(t.running, func(r run) bool { return r.print == p })
}

// makeRoom drops the oldest incident. Its records stay, so it may be merged
// again and count twice; that takes more than maxIncidents in the retention.
func (t *Table) makeRoom() {
	var oldest known
	for _, k := range t.incidents {
		if oldest.ID == 0 || k.at.Before(oldest.at) {
			oldest = k
		}
	}
	delete(t.incidents, oldest.ID)
}

func (t *Table) verdict(p Fingerprint, now time.Time) Verdict {
	if r := t.records[p]; r != nil {
		return r.verdict(now)
	}
	return Run
}

func (t *Table) suspectRunning(now time.Time) bool {
	return slices.ContainsFunc(t.running, func(r run) bool {
		return r.suspect || t.verdict(r.print, now) != Run
	})
}

// record returns the record of a fingerprint, or nil if there is no room.
func (t *Table) record(p Fingerprint, now time.Time) *record {
	if r := t.records[p]; r != nil {
		return r
	}
	if t.records == nil {
		t.records = make(map[Fingerprint]*record)
	}
	if len(t.records) >= maxRecords && !t.evict(now) {
		return nil
	}
	r := &record{print: p}
	t.records[p] = r
	return r
}

// evict drops the oldest of some records that are not quarantined. Looking at
// all of them for each fingerprint of an incident took over 50 s for 768
// incidents under the race detector.
func (t *Table) evict(now time.Time) bool {
	var oldest *record
	n := 0
	for _, r := range t.records {
		if r.verdict(now) == Refuse {
			continue
		}
		if oldest == nil || r.updated().Before(oldest.updated()) {
			oldest = r
		}
		if n++; n == evictSample {
			break
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.records, oldest.print)
	return true
}

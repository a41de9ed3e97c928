// Package quarantine detects requests that crash backend servers and stops them
// from running again.
package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	maxIncidents       = 256
	maxRecords         = 4096
	evictionSampleSize = 16
)

// Table holds the crash incidents known to one node and the requests running on
// its local server. The zero value is ready to use.
//
// Invariant: two suspects are never started so that they run at the same time.
//
// All times must carry a monotonic clock reading, since a jump of the wall clock
// would move the ends of suspicion and quarantine.
type Table struct {
	mu        sync.Mutex
	running   []run
	epoch     uint64 // number of crashes of the local server
	records   map[Fingerprint]*record
	incidents map[uint64]storedIncident
	answered  answerCache
}

// run counts the running requests with one fingerprint on the local server.
type run struct {
	fingerprint Fingerprint
	count       int
	// suspect is set if the fingerprint was part of a crash before the start.
	suspect bool
}

type storedIncident struct {
	Incident
	at time.Time
	// local is set if this node reported the incident.
	local bool
}

// Check returns the verdict on a request without starting it.
func (t *Table) Check(p Fingerprint, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdict(p, now)
}

// Start identifies one request that was started on the local server.
type Start struct {
	Fingerprint Fingerprint
	Verdict     Verdict
	epoch       uint64
}

// Begin registers a request as running on the local server; ok is false if it
// must not be sent now. Call it once the request has its slot, right before it is
// sent. If ok is false with the verdict Alone, the caller waits for a suspect to
// end and calls Begin again; with Refuse, it refuses the request as not run. Each
// start is ended by End or by Crash.
func (t *Table) Begin(p Fingerprint, now time.Time) (s Start, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s = Start{Fingerprint: p, Verdict: t.verdict(p, now), epoch: t.epoch}
	if s.Verdict == Refuse || s.Verdict == Alone && t.suspectRunning(now) {
		return s, false
	}
	i := t.find(p)
	if i < 0 {
		t.running = append(t.running, run{fingerprint: p})
		i = len(t.running) - 1
	}
	r := t.records[p]
	t.running[i].count++
	t.running[i].suspect = t.running[i].suspect || r != nil && r.crashes > 0
	return s, true
}

// End removes a running request; after a Crash it removes nothing. An answer
// clears the suspicion against the request. If there was any, released is true and
// the caller sends the Release to the other nodes.
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

// Crash removes all running requests after request s noticed a crash of the local
// server. It returns the incident, which the caller sends to the other nodes before
// it reports any failure to a caller. Requests that the server answered recently are
// left out of it. ok is false if another request already reported the same crash:
// the requests that run now were started after it.
func (t *Table) Crash(server string, s Start, now time.Time) (i Incident, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.epoch != t.epoch {
		return Incident{}, false
	}
	t.epoch++
	suspects := 0
	fingerprints := make([]Fingerprint, 0, len(t.running))
	for _, r := range t.running {
		if t.answered.has(r.fingerprint, now) {
			continue
		}
		if r.suspect {
			suspects++
			fingerprints = slices.Insert(fingerprints, 0, r.fingerprint)
		} else {
			fingerprints = append(fingerprints, r.fingerprint)
		}
	}
	var soleSuspect Fingerprint
	if suspects == 1 {
		soleSuspect = fingerprints[0]
	}
	t.running = t.running[:0]
	i = newIncident(server, t.epoch, fingerprints[:min(len(fingerprints), MaxFingerprints)], soleSuspect, now)
	t.merge(i, now, true)
	return i, true
}

// Merge adds an incident from another node. It returns false if the incident is
// already known or not valid. Merging is idempotent and commutative.
func (t *Table) Merge(i Incident, now time.Time) bool {
	if !i.Valid() || i.Age > retention {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(i, now, false)
}

// Release clears the suspicion against a request that was answered at another node.
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

// Incidents appends all known incidents with their ages to buf, to be sent to a
// node that joins.
func (t *Table) Incidents(now time.Time, buf []Incident) []Incident {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.incidents {
		buf = append(buf, k.WithAge(max(now.Sub(k.at), 0)))
	}
	return buf
}

// Tick removes incidents and records that are older than the retention.
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

func (t *Table) merge(i Incident, now time.Time, local bool) bool {
	if _, ok := t.incidents[i.ID]; ok {
		return false
	}
	if len(t.incidents) >= maxIncidents {
		t.evictOldestIncident()
	}
	if t.incidents == nil {
		t.incidents = make(map[uint64]storedIncident)
	}
	at := now.Add(-i.Age)
	i.Fingerprints = slices.Clone(i.Fingerprints)
	k := storedIncident{i, at, local}
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

// release rebuilds the record from the crashes after the release, so that the
// result does not depend on the order of releases and incidents.
func (t *Table) release(p Fingerprint, at time.Time) {
	r := t.records[p]
	if !at.After(r.released) {
		return
	}
	*r = record{fingerprint: p, released: at}
	for _, k := range t.incidents {
		if slices.Contains(k.Fingerprints, p) {
			r.add(k)
		}
	}
}

func (t *Table) find(p Fingerprint) int {
	return slices.IndexFunc(t.running, func(r run) bool { return r.fingerprint == p })
}

// evictOldestIncident removes the oldest incident but keeps its records. The
// incident may therefore be merged again and counted twice, which takes more than
// maxIncidents within the retention.
func (t *Table) evictOldestIncident() {
	var oldest storedIncident
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
		return r.suspect || t.verdict(r.fingerprint, now) != Run
	})
}

// record returns the record of a fingerprint, or nil if the table is full.
func (t *Table) record(p Fingerprint, now time.Time) *record {
	if r := t.records[p]; r != nil {
		return r
	}
	if t.records == nil {
		t.records = make(map[Fingerprint]*record)
	}
	if len(t.records) >= maxRecords && !t.evictRecord(now) {
		return nil
	}
	r := &record{fingerprint: p}
	t.records[p] = r
	return r
}

// evictRecord removes the oldest of a sample of records that are not quarantined.
// A scan of all records for each fingerprint of an incident took over 50 s for 768
// incidents under the race detector.
func (t *Table) evictRecord(now time.Time) bool {
	var oldest *record
	n := 0
	for _, r := range t.records {
		if r.verdict(now) == Refuse {
			continue
		}
		if oldest == nil || r.updated().Before(oldest.updated()) {
			oldest = r
		}
		if n++; n == evictionSampleSize {
			break
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.records, oldest.fingerprint)
	return true
}

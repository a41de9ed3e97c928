package quarantine

import "time"

// Verdict says how a request may run.
type Verdict uint8

const (
	// Run means that nothing is known against the request.
	Run Verdict = iota
	// Alone means that the request is a suspect and may run only where no
	// other suspect is running.
	Alone
	// Refuse means that the request crashed two servers and is not run.
	Refuse
)

// String returns the verdict's name in decision logs.
func (v Verdict) String() string { return [...]string{"run", "alone", "refuse"}[min(v, Refuse)] }

const (
	// Suspicion ends after this time, so that an innocent request is delayed by
	// at most as much.
	Suspicion = 60 * time.Second
	// Quarantine is the time from the last crash until one trial.
	Quarantine = 10 * time.Minute
	// headStart is how much earlier the node that reported the last crash may
	// try, so that the others learn the result before they try themselves.
	headStart = time.Minute
	// retention is the time after which a fingerprint or incident is forgotten.
	retention = 2 * Quarantine
)

// record is what is known against one fingerprint.
//
// Invariant: it depends only on the set of incidents and releases merged, not
// on their order.
type record struct {
	print   Fingerprint
	crashes int
	// sole is set if a crash had nothing else in flight.
	sole bool
	// lone is set if a crash happened while this was the only one in flight
	// that had been in a crash before.
	lone bool
	// own is set if the newest crash was reported by this node.
	own    bool
	newest time.Time
	// released is the newest time at which it ran to its end. Older crashes do
	// not count.
	released time.Time
}

// convicted reports whether two crashes point at the request. Two crashes
// alone do not: a popular lookup is in flight at most crashes of unrelated
// cause. One crash has to have left no other candidate.
func (r *record) convicted() bool { return r.lone || r.crashes >= 2 && r.sole }

func (r *record) add(k known) {
	if !k.at.After(r.released) {
		return
	}
	r.crashes++
	r.sole = r.sole || len(k.Fingerprints) == 1
	r.lone = r.lone || k.SoleSuspect == r.print
	switch {
	case r.crashes == 1 || k.at.After(r.newest):
		r.newest, r.own = k.at, k.own
	case k.at.Equal(r.newest):
		r.own = r.own || k.own
	}
}

func (r *record) verdict(now time.Time) Verdict {
	if r.crashes == 0 {
		return Run
	}
	passed := now.Sub(r.newest)
	if passed > retention {
		return Run
	}
	if r.convicted() {
		wait := Quarantine
		if !r.own {
			wait += headStart
		}
		if passed < wait {
			return Refuse
		}
		return Alone
	}
	if passed < Suspicion {
		return Alone
	}
	return Run
}

// updated is the time from which retention counts.
func (r *record) updated() time.Time {
	if r.newest.After(r.released) {
		return r.newest
	}
	return r.released
}

package quarantine

import "time"

// Verdict is the decision whether and how a request may run.
type Verdict uint8

const (
	// Run means that the request is not a suspect.
	Run Verdict = iota
	// Alone means that the request is a suspect. It may run only on a server
	// that runs no other suspect.
	Alone
	// Refuse means that the request is quarantined and must not run.
	Refuse
)

// String returns the name of the verdict in decision logs.
func (v Verdict) String() string { return [...]string{"run", "alone", "refuse"}[min(v, Refuse)] }

const (
	// Suspicion is the time from the last crash until a request that was in flight
	// is no longer a suspect. It bounds the delay of a harmless request.
	Suspicion = 60 * time.Second
	// Quarantine is the time from the last crash until one trial run.
	Quarantine = 10 * time.Minute
	// remoteTrialDelay is added to Quarantine at all nodes but the one that reported
	// the last crash, so that they learn the result of its trial before their own.
	remoteTrialDelay = time.Minute
	// retention is the age at which fingerprints and incidents are removed.
	retention = 2 * Quarantine
)

// record summarizes the incidents that contain one fingerprint.
//
// Invariant: it depends only on the set of merged incidents and releases, not on
// their order.
type record struct {
	fingerprint Fingerprint
	crashes     int
	// soleInFlight is set if in some crash no other request was in flight.
	soleInFlight bool
	// soleSuspect is set if in some crash no other request in flight had been part
	// of an earlier crash.
	soleSuspect bool
	// local is set if the newest crash was reported by this node.
	local  bool
	newest time.Time
	// released is the newest time at which the request was answered. Older crashes
	// are not counted.
	released time.Time
}

// isCause reports whether the request is taken as the cause of two crashes. Being
// in flight at two crashes is not enough, since a popular request is in flight at
// most unrelated crashes. One of them must have had no other candidate.
func (r *record) isCause() bool { return r.soleSuspect || r.crashes >= 2 && r.soleInFlight }

func (r *record) add(k storedIncident) {
	if !k.at.After(r.released) {
		return
	}
	r.crashes++
	r.soleInFlight = r.soleInFlight || len(k.Fingerprints) == 1
	r.soleSuspect = r.soleSuspect || k.SoleSuspect == r.fingerprint
	switch {
	case r.crashes == 1 || k.at.After(r.newest):
		r.newest, r.local = k.at, k.local
	case k.at.Equal(r.newest):
		r.local = r.local || k.local
	}
}

func (r *record) verdict(now time.Time) Verdict {
	if r.crashes == 0 {
		return Run
	}
	elapsed := now.Sub(r.newest)
	if elapsed > retention {
		return Run
	}
	if r.isCause() {
		wait := Quarantine
		if !r.local {
			wait += remoteTrialDelay
		}
		if elapsed < wait {
			return Refuse
		}
		return Alone
	}
	if elapsed < Suspicion {
		return Alone
	}
	return Run
}

// updated returns the time from which the retention is measured.
func (r *record) updated() time.Time {
	if r.newest.After(r.released) {
		return r.newest
	}
	return r.released
}

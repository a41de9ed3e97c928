package member

import "cmp"

// Merge returns the record that results from two records with the same ID. It is
// commutative, associative and idempotent. The newer incarnation takes precedence,
// then the larger sequence number, then the state of higher rank. The remaining
// comparisons only make the order total for records that no correct member sends.
func Merge(a, b Member) Member {
	a, b = a.normalized(), b.normalized()
	newer, older := a, b
	if compare(a, b) < 0 {
		newer, older = b, a
	}
	if newer.Incarnation == older.Incarnation {
		newer.Config = max(newer.Config, older.Config)
	}
	return newer
}

// normalized returns a copy without states that must not be sent: unreachable is a
// local view, and alive, draining and leaving can only be the announced state.
func (m Member) normalized() Member {
	if !m.Announced.announced() {
		m.Announced = StateAlive
	}
	if m.State.rank() == 0 {
		m.State = m.Announced
	}
	return m
}

// compare orders two records by precedence. It ignores Config, which Merge takes
// from either record.
func compare(a, b Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Seq, b.Seq),
		cmp.Compare(a.State.rank(), b.State.rank()),
		cmp.Compare(a.Announced, b.Announced),
		cmp.Compare(a.Addr, b.Addr),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Region, b.Region),
		cmp.Compare(a.Domain, b.Domain),
		cmp.Compare(a.Slots, b.Slots),
	)
}

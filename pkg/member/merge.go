package member

import "cmp"

// Merge returns the record that results from two records with the same ID. It
// is commutative, associative and idempotent: the newer incarnation wins, then
// the larger sequence, then the more final state. The remaining comparisons
// only make the order total for records that no correct member sends.
func Merge(a, b Member) Member {
	a, b = a.normal(), b.normal()
	newer, older := a, b
	if compare(a, b) < 0 {
		newer, older = b, a
	}
	if newer.Incarnation == older.Incarnation {
		newer.Config = max(newer.Config, older.Config)
	}
	return newer
}

// normal removes what must not travel: unreachable is a local view, and an
// announced state is always the member's own.
func (m Member) normal() Member {
	if !m.Announced.announced() {
		m.Announced = StateAlive
	}
	if m.State.rank() == 0 {
		m.State = m.Announced
	}
	return m
}

// compare ignores Config, which merges by itself.
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

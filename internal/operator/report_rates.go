package operator

import (
	"cmp"
	"maps"
	"slices"
)

// link is an ordered pair of regions.
type link struct{ from, to string }

// refusal identifies one counter of refused requests.
type refusal struct {
	Label
	reason string
}

// rates holds the rates of one counter before and after a change. Reports compare
// rates rather than counts, because the windows may differ in length.
type rates struct{ before, after float64 }

// ratesOf sums the rates of counters by key. The function count returns the key and
// the value of a counter.
func ratesOf[K comparable, T any](c comparison, before, after []T, count func(T) (K, int64)) map[K]rates {
	all := map[K]rates{}
	for _, x := range before {
		key, n := count(x)
		r := all[key]
		r.before += c.before.rate(n)
		all[key] = r
	}
	for _, x := range after {
		key, n := count(x)
		r := all[key]
		r.after += c.after.rate(n)
		all[key] = r
	}
	return all
}

func (c comparison) links() map[link]rates {
	return ratesOf(c, c.before.Links, c.after.Links, func(b LinkBytes) (link, int64) {
		return link{b.From, b.To}, b.Bytes
	})
}

func (c comparison) refusals() map[refusal]rates {
	return ratesOf(c, c.before.Refusals, c.after.Refusals, func(n Refusals) (refusal, int64) {
		return refusal{n.Label, n.Reason}, n.Count
	})
}

func sortedLinks(all map[link]rates) []link {
	return slices.SortedFunc(maps.Keys(all), func(a, b link) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
}

func sortedRefusals(all map[refusal]rates) []refusal {
	return slices.SortedFunc(maps.Keys(all), func(a, b refusal) int {
		return cmp.Or(compareLabels(a.Label, b.Label), cmp.Compare(a.reason, b.reason))
	})
}

func (c comparison) linksTable() *Table {
	t := newTable("measuring by link, bytes a second", text("from"), text("to"), decimal("before"), decimal("after"))
	all := c.links()
	for _, l := range sortedLinks(all) {
		t.add(l.from, l.to, all[l].before, all[l].after)
	}
	return t
}

func (c comparison) refusalsTable() *Table {
	t := newTable("refusals a second", text("service"), text("class"), text("tenant"), text("reason"), decimal("before"), decimal("after"))
	all := c.refusals()
	for _, r := range sortedRefusals(all) {
		t.add(r.Service, r.Class, r.Tenant, r.reason, all[r].before, all[r].after)
	}
	return t
}

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

// rates holds the rates of one counter before and after a change. Windows may
// differ in length, so reports compare rates and not counts.
type rates struct{ before, after float64 }

func (c comparison) links() map[link]rates {
	all := map[link]rates{}
	for _, b := range c.before.Links {
		r := all[link{b.From, b.To}]
		r.before += c.before.rate(b.Bytes)
		all[link{b.From, b.To}] = r
	}
	for _, b := range c.after.Links {
		r := all[link{b.From, b.To}]
		r.after += c.after.rate(b.Bytes)
		all[link{b.From, b.To}] = r
	}
	return all
}

func (c comparison) refusals() map[refusal]rates {
	all := map[refusal]rates{}
	for _, n := range c.before.Refusals {
		r := all[refusal{n.Label, n.Reason}]
		r.before += c.before.rate(n.Count)
		all[refusal{n.Label, n.Reason}] = r
	}
	for _, n := range c.after.Refusals {
		r := all[refusal{n.Label, n.Reason}]
		r.after += c.after.rate(n.Count)
		all[refusal{n.Label, n.Reason}] = r
	}
	return all
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
	t := newTable("measuring by link, bytes a second", text("from"), text("to"), ratio("before"), ratio("after"))
	all := c.links()
	for _, l := range sortedLinks(all) {
		t.add(l.from, l.to, all[l].before, all[l].after)
	}
	return t
}

func (c comparison) refusalsTable() *Table {
	t := newTable("refusals a second", text("service"), text("class"), text("tenant"), text("reason"), ratio("before"), ratio("after"))
	all := c.refusals()
	for _, r := range sortedRefusals(all) {
		t.add(r.Service, r.Class, r.Tenant, r.reason, all[r].before, all[r].after)
	}
	return t
}

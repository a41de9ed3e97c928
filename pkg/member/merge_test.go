package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// records draws from few IDs, addresses and numbers, so that conflicts are common.
func records(t *rapid.T) []Member {
	one := rapid.Custom(func(t *rapid.T) Member {
		return Member{
			Ref: Ref{
				ID:          rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
				Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
			},
			Addr:      rapid.SampledFrom([]string{"", "10.0.0.1:1", "10.0.0.2:1"}).Draw(t, "addr"),
			Region:    rapid.SampledFrom([]string{"x", "y"}).Draw(t, "region"),
			Announced: State(rapid.Uint8Range(0, 6).Draw(t, "announced")),
			State:     State(rapid.Uint8Range(0, 6).Draw(t, "state")),
			Config:    rapid.Uint64Range(0, 3).Draw(t, "config"),
			Seq:       rapid.Uint64Range(0, 2).Draw(t, "seq"),
		}
	})
	return rapid.SliceOfN(one, 1, 12).Draw(t, "records")
}

// Guards against merges whose result depends on the order of arrival: the tables of
// nodes would then differ permanently.
func TestMergeIsALattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := records(t)
		a := list[0].normalized()
		b, c := list[len(list)/2].WithIncarnation(2), list[len(list)-1]
		b.ID, c.ID = a.ID, a.ID
		assert.Equal(t, Merge(a, a), a)
		assert.Equal(t, Merge(a, b), Merge(b, a))
		assert.Equal(t, Merge(Merge(a, b), c), Merge(a, Merge(b, c)))
	})
}

// model computes the visible members from a set of records, whatever their order.
func model(list []Member) []Member {
	byID := make(map[string]Member)
	for _, m := range list {
		if old, ok := byID[m.ID]; ok {
			m = Merge(old, m)
		}
		byID[m.ID] = m.normalized()
	}
	visible := []Member{}
	for _, m := range byID {
		newer := func(o Member) bool {
			return o.Addr == m.Addr && cmp.Or(cmp.Compare(o.Incarnation, m.Incarnation), cmp.Compare(o.ID, m.ID)) > 0
		}
		replaced := false
		for _, o := range byID {
			replaced = replaced || m.Addr != "" && newer(o)
		}
		if m.State != StateDead && !replaced {
			visible = append(visible, m)
		}
	}
	return sorted(visible)
}

func sorted(list []Member) []Member {
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Guards against a table that differs from the model, whose digest depends on the
// order of merges, or whose events do not result in its members.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := records(t)
		want := model(list)
		var first, second Table
		seen := make(map[string]Member)
		for _, m := range list {
			first.Merge(m)
			applyEvents(t, seen, first.Events())
		}
		shuffled := append(slices.Clone(list), list...)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		r.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		for _, m := range shuffled {
			second.Merge(m)
		}
		assert.DeepEqual(t, sorted(first.Members()), want)
		assert.DeepEqual(t, sorted(second.Members()), want)
		assert.Equal(t, first.sums, second.sums)
		assert.Equal(t, len(seen), len(want))
		for _, m := range want {
			assert.Equal(t, seen[m.ID], m)
		}
		for _, m := range list {
			assert.Assert(t, !first.Merge(m), "merging a record again changed the table")
		}
	})
}

func applyEvents(t *rapid.T, seen map[string]Member, events []Event) {
	for _, e := range events {
		_, known := seen[e.Member.ID]
		assert.Equal(t, known, e.Kind != EventAdded, "event %s", e.Kind)
		seen[e.Member.ID] = e.Member
		if e.Kind == EventRemoved {
			delete(seen, e.Member.ID)
		}
	}
}

package member

// EventKind says how the view of a member changed.
type EventKind uint8

// Kinds of events. A member is removed when it is dead, was replaced at its
// address, or was unreachable for an hour.
const (
	EventAdded EventKind = iota
	EventChanged
	EventRemoved
)

// String returns the name that logs show.
func (k EventKind) String() string {
	return [...]string{"added", "changed", "removed"}[min(k, EventRemoved)]
}

// Event is one change of the view since the events were last taken. For a
// removed member, Member is the last view before the removal.
type Event struct {
	Kind   EventKind
	Member Member
}

// Events returns and forgets the changes since the last call, at most one for
// each member, so that the memory is bounded when nobody asks.
func (t *Table) Events() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var events []Event
	for id, before := range t.pending {
		now, visible := t.view(t.entries[id])
		switch {
		case before == nil && visible:
			events = append(events, Event{EventAdded, now})
		case before != nil && !visible:
			events = append(events, Event{EventRemoved, *before})
		case before != nil && visible && *before != now:
			events = append(events, Event{EventChanged, now})
		}
	}
	clear(t.pending)
	return events
}

// touch remembers the view of a member before its first change.
func (t *Table) touch(id string) {
	if _, ok := t.pending[id]; ok {
		return
	}
	if t.pending == nil {
		t.pending = make(map[string]*Member)
	}
	if m, visible := t.view(t.entries[id]); visible {
		t.pending[id] = &m
		return
	}
	t.pending[id] = nil
}

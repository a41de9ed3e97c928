package member

// EventKind is the way in which the view of a member changed.
type EventKind uint8

// Kinds of events. A member is removed when it is dead, when another member
// replaced it at its address, or when it was unreachable for an hour.
const (
	EventAdded EventKind = iota
	EventChanged
	EventRemoved
)

// String returns the name used in logs.
func (k EventKind) String() string {
	return [...]string{"added", "changed", "removed"}[min(k, EventRemoved)]
}

// Event is one change of the view since the last call of Table.Events. For a
// removed member, Member is the view before the removal.
type Event struct {
	Kind   EventKind
	Member Member
}

// Events returns the changes since the last call. Changes of the same member are
// combined into one event, which bounds the memory if Events is not called.
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

// saveView stores the view of a member before its first change since the last call
// of Events.
func (t *Table) saveView(id string) {
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

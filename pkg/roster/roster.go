package roster

import "time"

// Roster holds the newest entry of each node. The zero value is empty. It is not
// safe for concurrent use.
type Roster struct {
	entries map[string]Entry
	// arrived is when the entry of a node arrived.
	arrived map[string]time.Time
	// nodes maps addresses to node names.
	nodes map[string]string
}

// Merge adds an entry and reports whether it was new. A node that appears at the
// address of another one has replaced it, because an address belongs to one process
// at a time.
func (r *Roster) Merge(e Entry, now time.Time) bool {
	old, known := r.entries[e.Node]
	if known && !e.Newer(old) {
		return false
	}
	if r.entries == nil {
		r.entries, r.arrived, r.nodes = make(map[string]Entry), make(map[string]time.Time), make(map[string]string)
	}
	if other, taken := r.nodes[e.Addr]; taken && other != e.Node {
		if r.entries[other].Start > e.Start {
			return false
		}
		r.Remove(other)
	}
	if known && old.Addr != e.Addr {
		delete(r.nodes, old.Addr)
	}
	r.entries[e.Node], r.arrived[e.Node], r.nodes[e.Addr] = e, now, e.Node
	return true
}

// Remove deletes the entry of a node.
func (r *Roster) Remove(node string) {
	e, ok := r.entries[node]
	if !ok {
		return
	}
	delete(r.entries, node)
	delete(r.arrived, node)
	if r.nodes[e.Addr] == node {
		delete(r.nodes, e.Addr)
	}
}

// Get returns the entry of a node.
func (r *Roster) Get(node string) (Entry, bool) {
	e, ok := r.entries[node]
	return e, ok
}

// WarmingUntil returns when the node's server will have warmed up.
func (r *Roster) WarmingUntil(node string) time.Time {
	e, ok := r.entries[node]
	if !ok || e.WarmUp <= 0 {
		return time.Time{}
	}
	return r.arrived[node].Add(e.WarmUp)
}

// Len returns the number of nodes.
func (r *Roster) Len() int { return len(r.entries) }

// Each calls f for every entry, in no particular order.
func (r *Roster) Each(f func(Entry)) {
	for _, e := range r.entries {
		f(e)
	}
}

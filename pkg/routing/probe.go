package routing

import "time"

// ProbeTargets appends to buf the servers whose load should be asked for:
// those whose newest load is older than Config.Probe. A server is named at
// most once in that time. The caller asks the budget before it sends a probe.
func (t *Table) ProbeTargets(now time.Time, buf []ProbeTarget) []ProbeTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.prepare(now)
	for _, p := range t.pools {
		p.rebuild()
		for _, e := range p.active {
			if e.draining || e.age(at) >= 0 && e.age(at) < t.Probe || e.probed > 0 && at-e.probed < t.Probe {
				continue
			}
			e.probed = at
			buf = append(buf, ProbeTarget{
				Service: e.Service, ID: e.ID, Region: e.Region,
				Speculative: e.observed >= 0 && e.own == 0,
			})
		}
	}
	return buf
}

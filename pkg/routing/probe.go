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
			if e.draining || !e.probeDue(t.ProbeAfter, at) {
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

// distantProbe is the factor on the period for servers of other regions: a
// probe costs as much there as seven loads on answers.
const distantProbe = 5

func (e *entry) probeDue(period, at time.Duration) bool {
	if e.locality == distant {
		period *= distantProbe
	}
	known := e.observed >= 0 && at-e.observed < period
	return !known && (e.probed == 0 || at-e.probed >= period)
}

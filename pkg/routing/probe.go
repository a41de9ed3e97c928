package routing

import "time"

// ProbeTargets appends to buf the servers to probe: those whose newest load is older
// than Config.ProbeAfter. A server is returned at most once in that time. The caller
// checks the measuring budget before it sends a probe.
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
			e.lastProbe = at
			buf = append(buf, ProbeTarget{
				Service: e.Service, ID: e.ID, Region: e.Region,
				Speculative: e.reportedAt >= 0 && e.own == 0,
			})
		}
	}
	return buf
}

// otherRegionProbeFactor multiplies the probe period for servers in other regions. A
// probe costs as much there as seven loads carried by answers.
const otherRegionProbeFactor = 5

func (e *entry) probeDue(period, at time.Duration) bool {
	if e.locality == otherRegion {
		period *= otherRegionProbeFactor
	}
	known := e.reportedAt >= 0 && at-e.reportedAt < period
	return !known && (e.lastProbe == 0 || at-e.lastProbe >= period)
}

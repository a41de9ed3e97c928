package experiment

// oracle picks the server with the lowest expected time to the answer from the current
// queues, requests in transit and speeds of all servers. It does not use future
// changes.
type oracle struct{ base }

func (p *oracle) pick(r *request) int {
	return p.leastCost(r, func(i int) float64 { return p.cost(r.entry, i) })
}

func (p *oracle) cost(entry, i int) float64 {
	s := p.emulator.servers[i]
	if s.mode != up || p.emulator.partitioned(entry, i) {
		return float64(deadline)
	}
	link := 2 * p.emulator.deployment.delay(p.emulator.servers[entry].Server, s.Server)
	run := float64(meanRunTime) * s.slowdown
	excess := max(s.inTransit+len(s.running)+len(s.queue)+1-s.Slots, 0)
	return float64(link) + run + run*float64(excess)/float64(s.Slots)
}

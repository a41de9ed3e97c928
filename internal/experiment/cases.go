package experiment

import (
	"time"
)

const (
	second = time.Second
	// faultStart is the start of single faults.
	faultStart = warmUp + second
	// detectionTime is the time until the membership declares a lost node dead.
	detectionTime = 2 * second
)

// Case is a disturbance, as listed in section 4 of docs/design.md.
type Case struct {
	Name string
	plan func(*emulator)
}

// Cases lists the cases in the order of the tables.
func Cases() []Case {
	return []Case{
		{"steady", func(*emulator) {}},
		{"slow-5ms", func(e *emulator) { noisyNeighbours(e, 50*time.Millisecond, 5*time.Millisecond) }},
		{"slow-250ms", func(e *emulator) { noisyNeighbours(e, 500*time.Millisecond, 250*time.Millisecond) }},
		{"slow-2s", slowServers},
		{"ten-times", func(e *emulator) { e.after(warmUp, func() { e.servers[1].setSlowdown(10) }) }},
		{"fail-fast", func(e *emulator) { scheduleFault(e, failing, 2*second) }},
		{"crash", func(e *emulator) { scheduleFault(e, crashed, 1500*time.Millisecond) }},
		{"lying", misreportedLoad},
		{"domain-lost", loseDomain},
		{"region-cut", partitionRegion},
		{"burst", burst},
	}
}

// CaseNamed returns the case with the name, or one without a disturbance if there is
// none.
func CaseNamed(name string) Case {
	for _, c := range Cases() {
		if c.Name == name {
			return c
		}
	}
	return Case{name, func(*emulator) {}}
}

// noisyNeighbours slows down a random server by a factor of 5 once in each period,
// for about the given length, as other workloads on its host would.
func noisyNeighbours(e *emulator, period, length time.Duration) {
	for at := warmUp; at < warmUp+e.options.Length; at += period {
		s := e.servers[e.faults.IntN(len(e.servers))]
		duration := time.Duration((0.5 + e.faults.Float64()) * float64(length))
		e.after(at, func() { s.setSlowdown(5) })
		e.after(at+duration, func() { s.setSlowdown(1) })
	}
}

// slowServers slows down one server and then another, for two seconds each.
func slowServers(e *emulator) {
	for k := range 2 {
		s := e.servers[1+k]
		e.after(faultStart+time.Duration(k)*2*second, func() { s.setSlowdown(5) })
		e.after(faultStart+time.Duration(k+1)*2*second, func() { s.setSlowdown(1) })
	}
}

// scheduleFault puts a server into the mode at faultStart, for the duration.
func scheduleFault(e *emulator, m mode, duration time.Duration) {
	s := e.servers[1]
	e.after(faultStart, func() { s.setMode(m) })
	e.after(faultStart+duration, func() { s.setMode(up) })
}

// misreportedLoad slows a server down while all its load figures, including those
// sent with answers, describe an idle, fast server.
func misreportedLoad(e *emulator) {
	s := e.servers[1]
	e.after(faultStart, func() { s.reportsIdle = true; s.setSlowdown(5) })
	e.after(faultStart+3*second, func() { s.reportsIdle = false; s.setSlowdown(1) })
}

// loseDomain stops all servers of a failure domain from answering. Their callers
// connect to other entry nodes at once.
func loseDomain(e *emulator) {
	lost := e.servers[0].Domain
	each := func(do func(i int, s *server)) func() {
		return func() {
			for i, s := range e.servers {
				if s.Domain == lost {
					do(i, s)
				}
			}
		}
	}
	e.after(faultStart, each(func(i int, s *server) { e.unreachable[i] = true; s.setMode(silent) }))
	e.after(faultStart+detectionTime, each(func(i int, _ *server) { e.setDead(i, true) }))
	e.after(faultStart+3*second, each(func(_ int, s *server) { s.setMode(up) }))
	e.after(faultStart+3500*time.Millisecond, each(func(i int, _ *server) { e.unreachable[i] = false; e.setDead(i, false) }))
}

// setDead sets whether the membership of all entry nodes has declared a server dead.
func (e *emulator) setDead(i int, dead bool) {
	for entry := range e.dead {
		e.dead[entry][i] = dead
	}
}

// partitionRegion cuts a region's links to the other regions.
func partitionRegion(e *emulator) {
	name := e.deployment.Regions[2]
	pairs := func(dead bool) func() {
		return func() {
			for a, s := range e.servers {
				for b, t := range e.servers {
					if s.Region != t.Region && (s.Region == name || t.Region == name) {
						e.dead[a][b] = dead
					}
				}
			}
		}
	}
	e.after(faultStart, func() { e.partitionedRegion = name })
	e.after(faultStart+detectionTime, pairs(true))
	e.after(faultStart+3*second, func() { e.partitionedRegion = "" })
	e.after(faultStart+3500*time.Millisecond, pairs(false))
}

// burst triples the arrival rate twice, for 200 ms each.
func burst(e *emulator) {
	for k := range 2 {
		at := faultStart + time.Duration(k)*2*second
		e.after(at, func() { e.burst = 3 })
		e.after(at+200*time.Millisecond, func() { e.burst = 1 })
	}
}

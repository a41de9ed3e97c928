package slots

import (
	"encoding/binary"
	"math"
)

const (
	// kneeLevels bounds the levels of concurrency that are told apart.
	kneeLevels = 32
	// kneeMemory is how many runs weigh at a level, so that the estimate follows a
	// server that changes.
	kneeMemory = 200
	// unusedMemory is how many runs at other levels it takes to forget those of a
	// level, so that one that was slow once is tried again after some thousand runs.
	unusedMemory = 2000
	// kneeRuns is how many runs each side of a comparison needs.
	kneeRuns = 12
	// kneeCertainty is how many standard errors a slowdown must be away from none.
	// Several candidates are looked at after every run, so three are met by chance.
	kneeCertainty = 4.0
	// kneeGain is the work that a knee must allow as a share of that of all slots.
	// Fewer runs at a time that do nearly the same work also end earlier.
	kneeGain = 0.95
	// outlierRatio bounds one run's weight: a server that hangs says nothing about
	// concurrency.
	outlierRatio = 4.0
	// enoughRuns is how many own runs a level needs to do without those of other
	// servers, which may differ.
	enoughRuns = 120
	// refineCertainty is the certainty with which a level next to the knee must be
	// slow to lie above it.
	refineCertainty = 3.0
)

// level holds the relative durations of runs that began at one concurrency.
type level struct{ n, mean, variance float64 }

func (l *level) add(d float64) {
	l.n = min(l.n*(1-1.0/kneeMemory)+1, kneeMemory)
	off := d - l.mean
	l.mean += off / l.n
	l.variance += (off*(d-l.mean) - l.variance) / l.n
}

// plus returns the level of both groups of runs.
func (l level) plus(o level) level {
	n := l.n + o.n
	if n == 0 {
		return level{}
	}
	mean := (l.n*l.mean + o.n*o.mean) / n
	square := (l.n*(l.variance+l.mean*l.mean) + o.n*(o.variance+o.mean*o.mean)) / n
	return level{n, mean, max(square-mean*mean, 0)}
}

// limited returns the level as if at most n runs had been seen.
func (l level) limited(n float64) level {
	l.n = min(l.n, n)
	return l
}

// knee collects the runs of one server, or of several.
type knee [kneeLevels + 1]level

// levelOf returns the level of a concurrency.
func levelOf(running, slots int) int {
	if slots <= kneeLevels {
		return min(running, slots)
	}
	return min(running*kneeLevels/slots, kneeLevels)
}

func (k *knee) add(running, slots int, d float64) {
	for i := range k {
		k[i].n *= 1 - 1.0/unusedMemory
	}
	k[levelOf(running, slots)].add(min(d, outlierRatio))
}

// limit returns the best concurrency of a server with that many slots, from its
// own runs and those of others. It compares the runs that began above each
// concurrency with the others: a slowdown begins at one and holds above it.
func (k *knee) limit(slots int, others *knee) int {
	levels := min(slots, kneeLevels)
	var at, below [kneeLevels + 1]level // below holds all levels up to its own
	for i := range levels + 1 {
		at[i] = k[i].plus(others[i].limited(max(enoughRuns-k[i].n, 0)))
		below[i] = at[i].plus(below[max(i-1, 0)])
	}
	best, most := levels, kneeCertainty
	var above level
	for n := levels - 1; n >= levels/2; n-- {
		above = above.plus(at[n+1])
		loss, certainty := slowdown(below[n], above)
		if certainty > most && float64(n) > kneeGain*float64(levels)*(1-loss) {
			best, most = n, certainty
		}
	}
	for n := best; n < levels && n > levels/2; n-- {
		loss, certainty := slowdown(below[n-1], at[n])
		if certainty < refineCertainty || float64(n-1) <= kneeGain*float64(n)*(1-loss) {
			break
		}
		best = n - 1
	}
	return best * slots / levels
}

// slowdown returns the part of its speed that a server loses, and the number of
// standard errors by which that is above zero.
func slowdown(below, above level) (loss, certainty float64) {
	if below.n < kneeRuns || above.n < kneeRuns || above.mean <= below.mean {
		return 0, 0
	}
	noise := math.Sqrt(below.variance/below.n + above.variance/above.n)
	return 1 - below.mean/above.mean, (above.mean - below.mean) / max(noise, 1e-3)
}

// Summary is what a node tells others of its server, so that all of a service
// learn together.
type Summary []byte

// levelBytes is the size of a level: its number, its runs, the mean of their
// durations and the standard deviation, both in thousandths.
const (
	levelBytes = 1 + 1 + 2 + 2
	thousandth = 1000
)

// summary returns the levels that have runs.
func (k *knee) summary() Summary {
	var out Summary
	for i, l := range k {
		if l.n < 1 {
			continue
		}
		out = append(out, byte(i), byte(min(l.n, math.MaxUint8)))
		out = binary.BigEndian.AppendUint16(out, uint16(l.mean*thousandth))
		out = binary.BigEndian.AppendUint16(out, uint16(math.Sqrt(l.variance)*thousandth))
	}
	return out
}

// merge takes a summary; levels that cannot be are ignored.
func (k *knee) merge(s Summary) {
	for ; len(s) >= levelBytes; s = s[levelBytes:] {
		deviation := float64(binary.BigEndian.Uint16(s[4:])) / thousandth
		l := level{float64(s[1]), float64(binary.BigEndian.Uint16(s[2:])) / thousandth, deviation * deviation}
		if int(s[0]) < len(k) && l.mean <= outlierRatio {
			k[s[0]] = k[s[0]].plus(l)
		}
	}
}

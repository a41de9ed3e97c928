package slots

import (
	"encoding/binary"
	"math"
)

const (
	// kneeLevels is the number of concurrency levels that are distinguished.
	kneeLevels = 32
	// kneeWindow is the number of runs that count at a level, so that the estimate
	// follows a server that changes.
	kneeWindow = 200
	// unusedWindow is the number of runs at other levels after which those of a
	// level are forgotten, so that a level that was slow once is tried again after
	// some thousand runs.
	unusedWindow = 2000
	// minRuns is the number of runs that each side of a comparison needs.
	minRuns = 12
	// kneeSignificance is the number of standard errors by which a slowdown must
	// differ from zero. Several levels are compared after every run, so three are
	// reached by chance.
	kneeSignificance = 4.0
	// minKneeThroughput is the throughput that a knee must allow, as a share of that
	// of all slots. Fewer concurrent runs with nearly the same throughput also
	// finish earlier.
	minKneeThroughput = 0.95
	// outlierRatio caps the ratio of one run, because the long runs of a server that
	// hangs do not depend on its concurrency.
	outlierRatio = 4.0
	// ownRunsOnly is the number of own runs from which a level is estimated without
	// the runs of other servers, which may behave differently.
	ownRunsOnly = 120
	// refineSignificance is the number of standard errors by which the level next to
	// the knee must be slower to be excluded.
	refineSignificance = 3.0
)

// level holds the duration ratios of runs that started at one level of concurrency.
type level struct{ n, mean, variance float64 }

func (l *level) add(d float64) {
	l.n = min(l.n*(1-1.0/kneeWindow)+1, kneeWindow)
	off := d - l.mean
	l.mean += off / l.n
	l.variance += (off*(d-l.mean) - l.variance) / l.n
}

// plus returns the statistics of both groups of runs together.
func (l level) plus(o level) level {
	n := l.n + o.n
	if n == 0 {
		return level{}
	}
	mean := (l.n*l.mean + o.n*o.mean) / n
	square := (l.n*(l.variance+l.mean*l.mean) + o.n*(o.variance+o.mean*o.mean)) / n
	return level{n, mean, max(square-mean*mean, 0)}
}

// limited returns the level with its weight reduced to at most n runs.
func (l level) limited(n float64) level {
	l.n = min(l.n, n)
	return l
}

// knee holds the statistics by level of one server, or of several.
type knee [kneeLevels + 1]level

// levelOf returns the level of the given concurrency.
func levelOf(running, slots int) int {
	if slots <= kneeLevels {
		return min(running, slots)
	}
	return min(running*kneeLevels/slots, kneeLevels)
}

func (k *knee) add(running, slots int, d float64) {
	for i := range k {
		k[i].n *= 1 - 1.0/unusedWindow
	}
	k[levelOf(running, slots)].add(min(d, outlierRatio))
}

// limit returns the best concurrency of a server with the given number of slots,
// from its own runs and those of other servers. For each level it compares the runs
// that started above it with all others, because a slowdown begins at one level and
// holds for all higher ones.
func (k *knee) limit(slots int, others *knee) int {
	levels := min(slots, kneeLevels)
	var at, below [kneeLevels + 1]level // below sums all levels up to its own
	for i := range levels + 1 {
		at[i] = k[i].plus(others[i].limited(max(ownRunsOnly-k[i].n, 0)))
		below[i] = at[i].plus(below[max(i-1, 0)])
	}
	best, most := levels, kneeSignificance
	var above level
	for n := levels - 1; n >= levels/2; n-- {
		above = above.plus(at[n+1])
		loss, significance := slowdown(below[n], above)
		if significance > most && float64(n) > minKneeThroughput*float64(levels)*(1-loss) {
			best, most = n, significance
		}
	}
	for n := best; n < levels && n > levels/2; n-- {
		loss, significance := slowdown(below[n-1], at[n])
		if significance < refineSignificance || float64(n-1) <= minKneeThroughput*float64(n)*(1-loss) {
			break
		}
		best = n - 1
	}
	return best * slots / levels
}

// slowdown returns the share of its speed that a server loses, and the number of
// standard errors by which that differs from zero.
func slowdown(below, above level) (loss, significance float64) {
	if below.n < minRuns || above.n < minRuns || above.mean <= below.mean {
		return 0, 0
	}
	noise := math.Sqrt(below.variance/below.n + above.variance/above.n)
	return 1 - below.mean/above.mean, (above.mean - below.mean) / max(noise, 1e-3)
}

// Summary is the encoded statistics of one server. Nodes exchange it so that all
// servers of a service share their measurements.
type Summary []byte

// levelBytes is the encoded size of a level: its number, its number of runs, and the
// mean and standard deviation of their duration ratios in thousandths.
const (
	levelBytes = 1 + 1 + 2 + 2
	thousandth = 1000
)

// summary encodes the levels that have runs.
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

// merge adds a summary and ignores invalid levels.
func (k *knee) merge(s Summary) {
	for ; len(s) >= levelBytes; s = s[levelBytes:] {
		deviation := float64(binary.BigEndian.Uint16(s[4:])) / thousandth
		l := level{float64(s[1]), float64(binary.BigEndian.Uint16(s[2:])) / thousandth, deviation * deviation}
		if int(s[0]) < len(k) && l.mean <= outlierRatio {
			k[s[0]] = k[s[0]].plus(l)
		}
	}
}

package uplink

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// linkOf returns a link with the given usable rate in bytes per second.
func linkOf(rate float64) *Link {
	var l Link
	l.SetRate(rate * 8 / usable)
	return &l
}

// Guards against waits on a link without a limit.
func TestZeroLinkHasNoLimit(t *testing.T) {
	var l Link
	for range 100 {
		assert.Equal(t, l.Schedule(1<<20, epoch), time.Duration(0))
	}
	assert.Equal(t, l.Transfer(1<<20, epoch), time.Duration(0))
}

// Guards against large answers that queue at the link for longer than queueTime, and
// against a link that is idle while answers wait. Replays answers of 90 KB, sent in
// parts of 16 KB, that arrive at once at a link of 12 Mbit/s.
func TestLargeAnswersLeaveTheLinkFree(t *testing.T) {
	const rate, part, parts, answers = 1_500_000, 16 << 10, 6, 12
	l := linkOf(rate)
	// sent lists when the parts are passed to the link.
	var sent []time.Duration
	at := make([]time.Duration, answers)
	for range parts {
		for i := range answers {
			wait := l.Schedule(part, epoch.Add(at[i]))
			at[i] += wait
			sent = append(sent, at[i])
		}
	}
	onePart := time.Second * part / rate
	free := time.Duration(0)
	for i, start := range sent {
		if i > 0 {
			assert.Assert(t, start >= sent[i-1], "part %d overtakes", i)
		}
		queued := max(free-start, 0)
		assert.Assert(t, queued <= queueTime+onePart, "%s are queued at part %d", queued, i)
		if i > 2 {
			assert.Assert(t, queued > 0, "the link is idle before part %d", i)
		}
		free = max(free, start) + onePart
	}
}

// Guards against estimates that ignore what is scheduled or that is already sent.
func TestTransfer(t *testing.T) {
	l := linkOf(1_000_000)
	assert.Equal(t, l.Transfer(100_000, epoch).Round(time.Millisecond), 100*time.Millisecond)
	l.Schedule(200_000, epoch)
	assert.Equal(t, l.Transfer(100_000, epoch).Round(time.Millisecond), 300*time.Millisecond)
	assert.Equal(t, l.Transfer(100_000, epoch.Add(150*time.Millisecond)).Round(time.Millisecond), 150*time.Millisecond)
	assert.Equal(t, l.Transfer(100_000, epoch.Add(time.Second)).Round(time.Millisecond), 100*time.Millisecond)
}

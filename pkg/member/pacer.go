package member

import "time"

// pacer is a token bucket that limits the bytes sent per second, so that a burst
// of updates is sent over several seconds. Probes and acknowledgements take tokens
// but are always sent; everything else waits for tokens. With a burst of two fifths
// of the rate, there are tokens for at most 1.4 times the rate in any second. With a
// burst of half the rate, monitors in the region of a failed failure domain sent up
// to 9,163 bytes in a second, which is over the limit of 9 KB.
type pacer struct {
	// tokens is the number of bytes that may be sent; it may be negative after
	// probes.
	tokens float64
}

func (p *pacer) refill(step time.Duration, rate int) {
	if rate <= 0 {
		rate = DefaultRate
	}
	p.tokens = min(p.tokens+step.Seconds()*float64(rate), 0.4*float64(rate))
}

func (p *pacer) take(bytes int) { p.tokens -= float64(bytes) }

// allows reports whether there are tokens for a datagram of full size.
func (p *pacer) allows() bool { return p.tokens >= MaxPayload+Overhead }

// allowsSmall reports whether there are tokens for a third of a full datagram.
func (p *pacer) allowsSmall() bool { return 3*p.tokens >= MaxPayload+Overhead }

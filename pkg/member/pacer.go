package member

import "time"

// pacer bounds the bytes a second that are sent, so that a burst of changes
// spreads over seconds. Probes and acknowledgements are always sent and count;
// everything else waits for tokens. In any second at most the rate and the
// burst of two fifths of the rate pass; with a burst of half the rate, monitors
// in the region of a lost failure domain sent up to 9,163 bytes in a second.
type pacer struct {
	// tokens may be negative after probes.
	tokens float64
}

func (p *pacer) refill(step time.Duration, rate int) {
	if rate <= 0 {
		rate = DefaultRate
	}
	p.tokens = min(p.tokens+step.Seconds()*float64(rate), 0.4*float64(rate))
}

func (p *pacer) take(bytes int) { p.tokens -= float64(bytes) }

// allows reports whether a datagram of full size may be sent now.
func (p *pacer) allows() bool { return p.tokens >= MaxPayload+Overhead }

// allowsSmall reports whether a datagram of a third of the size may be sent.
func (p *pacer) allowsSmall() bool { return 3*p.tokens >= MaxPayload+Overhead }

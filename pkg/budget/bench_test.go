package budget

import (
	"fmt"
	"testing"
	"time"
)

func limiterWithKeys() (l *Limiter, keys []Key) {
	l = &Limiter{}
	for i := range 710 {
		keys = append(keys, Server(fmt.Sprint("node-", i)))
		l.Allow(Probe, 60, time.Unix(0, 0), keys[i])
	}
	return l, keys
}

func BenchmarkAllow710Keys(b *testing.B) {
	l, keys := limiterWithKeys()
	now := time.Unix(0, 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Microsecond)
		l.Allow(Probe, 60, now, keys[i%len(keys)])
	}
}

func BenchmarkAllowServerAndLink(b *testing.B) {
	l, keys := limiterWithKeys()
	now := time.Unix(0, 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Microsecond)
		l.Allow(Probe, 60, now, keys[i%len(keys)], Link("poa", "cwb"))
	}
}

func BenchmarkDenied(b *testing.B) {
	l, keys := limiterWithKeys()
	l.SetServers(Rate{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Allow(Control, 60, time.Unix(0, 0), keys[i%len(keys)])
	}
}

func BenchmarkMemory710Keys(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		limiterWithKeys()
	}
}

// BenchmarkSustained reports the share of the budget that a constant load can use,
// depending on the time between two calls.
func BenchmarkSustained(b *testing.B) {
	const seconds = 100
	for _, every := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, maxGap, 200 * time.Millisecond} {
		b.Run(every.String(), func(b *testing.B) {
			spent := 0
			for b.Loop() {
				var l Limiter
				spent = 0
				for at := time.Duration(0); at < seconds*time.Second; at += every {
					for l.Allow(Control, 1, time.Unix(0, int64(at)), Server("a")) {
						spent++
					}
				}
			}
			b.ReportMetric(100*float64(spent)/float64(seconds*DefaultServer.Messages), "used-%")
		})
	}
}

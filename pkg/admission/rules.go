package admission

import (
	"maps"
	"time"
)

// Level is a priority. Levels are served in the order Urgent, Normal, Background.
type Level uint8

// Levels of classes.
const (
	Normal Level = iota
	Urgent
	Background

	levels = int(Background) + 1
)

// order lists the levels from the first to the last served.
var order = [levels]Level{Urgent, Normal, Background}

// rank is the position in order.
var rank = [levels]int{Urgent: 0, Normal: 1, Background: 2}

// Defaults of the zero Rules and Queue.
const (
	DefaultSlots = 12
	DefaultQueue = 64
	DefaultRamp  = 10 * time.Second
)

// Rules are the operator's settings of a service. The zero value has one level,
// equal tenants and the defaults.
type Rules struct {
	// Queue bounds the queued entries; zero means DefaultQueue, and a negative value
	// means that nothing is queued.
	Queue int
	// Levels maps classes to levels; other classes are Normal.
	Levels map[string]Level
	// Weights maps tenants to their shares of the slots; other tenants have 1.
	Weights map[string]int
	// Ramp is the time from a cold start to the use of all slots; zero means
	// DefaultRamp.
	Ramp time.Duration
}

// WithLevel returns a copy in which the class has the level.
func (r Rules) WithLevel(class string, l Level) Rules {
	r.Levels = with(r.Levels, class, l)
	return r
}

// WithWeight returns a copy in which the tenant has the weight.
func (r Rules) WithWeight(tenant string, weight int) Rules {
	r.Weights = with(r.Weights, tenant, weight)
	return r
}

func with[V any](m map[string]V, k string, v V) map[string]V {
	c := maps.Clone(m)
	if c == nil {
		c = make(map[string]V, 1)
	}
	c[k] = v
	return c
}

func (r *Rules) bound() int {
	if r.Queue == 0 {
		return DefaultQueue
	}
	return max(r.Queue, 0)
}

func (r *Rules) ramp() time.Duration {
	if r.Ramp <= 0 {
		return DefaultRamp
	}
	return r.Ramp
}

func (r *Rules) level(class string) Level {
	return min(r.Levels[class], Background)
}

func (r *Rules) weight(tenant string) int {
	return max(r.Weights[tenant], 1)
}

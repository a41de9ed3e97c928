package routing

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/outlier"
)

// Config places the table in the deployment. A zero field means its default.
type Config struct {
	// Node is the ID of the node that holds the table; its own server has no
	// link cost.
	Node, Region, Domain string
	// LocalDelay, DomainDelay and RegionDelay are one-way delays within a
	// failure domain, between domains of a region, and between regions. The
	// defaults are 0.1 ms, 1 ms and 8 ms.
	LocalDelay, DomainDelay, RegionDelay time.Duration
	// ServiceTime is the run time assumed before any answer came; the default is
	// 10 ms.
	ServiceTime time.Duration
	// SlowStart is the time in which a cold server ramps up; the default is
	// 3 s.
	SlowStart time.Duration
	// SubsetSize is the largest number of servers used for each service; the
	// default is 48.
	SubsetSize int
	// MaxServers is the largest number of servers used over all services that had a
	// request in the last minute, which share it evenly; the default is 80. It
	// bounds the connections to other nodes.
	MaxServers int
	// ProbeAfter is the age of the newest load from which a server that is used is
	// probed; the default is 1 s.
	ProbeAfter time.Duration
	// Seed varies the random choices; the node's ID does so too.
	Seed    uint64
	Outlier outlier.Config
}

func (c Config) withDefaults() Config {
	for v, d := range map[*time.Duration]time.Duration{
		&c.LocalDelay:  100 * time.Microsecond,
		&c.DomainDelay: time.Millisecond,
		&c.RegionDelay: 8 * time.Millisecond,
		&c.ServiceTime:     10 * time.Millisecond,
		&c.SlowStart:   3 * time.Second,
		&c.ProbeAfter:       time.Second,
	} {
		if *v <= 0 {
			*v = d
		}
	}
	if c.SubsetSize <= 0 {
		c.SubsetSize = 48
	}
	if c.MaxServers <= 0 {
		c.MaxServers = 80
	}
	return c
}

// leastSubset keeps a choice between servers when many services are in use.
const leastSubset = 4

// share returns the number of servers used for each of n services in use.
func (c *Config) share(n int) int {
	return min(c.SubsetSize, max(c.MaxServers/max(n, 1), leastSubset))
}

// roundTrip returns the link's share of a request's latency.
func (c *Config) roundTrip(s *Server) (time.Duration, locality) {
	switch {
	case s.ID == c.Node && c.Node != "":
		return 0, near
	case s.Region != c.Region:
		return 2 * c.RegionDelay, distant
	case s.Domain != c.Domain:
		return 2 * c.DomainDelay, regional
	default:
		return 2 * c.LocalDelay, near
	}
}

// locality is the distance of a server; a lower one is closer.
type locality uint8

const (
	near locality = iota
	regional
	distant
	localities
)

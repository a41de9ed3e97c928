package routing

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/outlier"
)

// Config sets the location of the table's node and its limits. A zero field selects
// the default.
type Config struct {
	// Node is the ID of the node that holds the table; its own server has no link
	// latency.
	Node, Region, Domain string
	// LocalDelay, DomainDelay and RegionDelay are one-way delays within a
	// failure domain, between domains of a region, and between regions. The
	// defaults are 0.1 ms, 1 ms and 8 ms.
	LocalDelay, DomainDelay, RegionDelay time.Duration
	// InitialRunTime is the run time assumed before the first answer; the default is
	// 10 ms.
	InitialRunTime time.Duration
	// SlowStart is the time in which the share of a new server ramps up; the default
	// is 3 s.
	SlowStart time.Duration
	// SubsetSize is the largest number of servers used for each service; the
	// default is 48.
	SubsetSize int
	// MaxServers is the largest number of servers used by all services together
	// that had a request in the last minute; they share it evenly. It limits the
	// number of connections to other nodes. The default is 80.
	MaxServers int
	// ProbeAfter is the age of the newest load at which a server of the subset is
	// probed; the default is 1 s.
	ProbeAfter time.Duration
	// Seed seeds the random choices, together with the node's ID.
	Seed    uint64
	Outlier outlier.Config
}

func (c Config) withDefaults() Config {
	for v, d := range map[*time.Duration]time.Duration{
		&c.LocalDelay:  100 * time.Microsecond,
		&c.DomainDelay: time.Millisecond,
		&c.RegionDelay: 8 * time.Millisecond,
		&c.InitialRunTime: 10 * time.Millisecond,
		&c.SlowStart:   3 * time.Second,
		&c.ProbeAfter:  time.Second,
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

// minSubsetSize leaves a choice between servers when many services are in use.
const minSubsetSize = 4

// subsetSize returns the subset size of each service if n services are in use.
func (c *Config) subsetSize(n int) int {
	return min(c.SubsetSize, max(c.MaxServers/max(n, 1), minSubsetSize))
}

// roundTrip returns the round-trip time and the locality of a server.
func (c *Config) roundTrip(s *Server) (time.Duration, locality) {
	switch {
	case s.ID == c.Node && c.Node != "":
		return 0, sameDomain
	case s.Region != c.Region:
		return 2 * c.RegionDelay, otherRegion
	case s.Domain != c.Domain:
		return 2 * c.DomainDelay, sameRegion
	default:
		return 2 * c.LocalDelay, sameDomain
	}
}

// locality is the distance class of a server; lower values are closer.
type locality uint8

const (
	sameDomain locality = iota
	sameRegion
	otherRegion
	localityCount
)

package routing

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/outlier"
)

// Config holds the location of the node that owns a Table, and the delays and limits
// used to choose servers. A zero number or duration selects the default.
type Config struct {
	// Node is the ID of the node, Region and Domain are its location. The link to
	// the server beside it has no latency.
	Node, Region, Domain string
	// LocalDelay, DomainDelay and RegionDelay are one-way delays to a server of the
	// same failure domain, of another domain of the same region, and of another
	// region. The defaults are 0.1 ms, 1 ms and 8 ms.
	LocalDelay, DomainDelay, RegionDelay time.Duration
	// InitialRunTime is the run time of a request that is assumed before the first
	// answer; the default is 10 ms.
	InitialRunTime time.Duration
	// SlowStart is the time in which the usable share of a new server's slots ramps
	// up; the default is 3 s.
	SlowStart time.Duration
	// SubsetSize is the largest number of servers used for each service; the
	// default is 48.
	SubsetSize int
	// MaxServers is the number of servers that is divided evenly between all services
	// that had a request in the last minute. It limits the number of connections to
	// other nodes. Each service may use at least minSubsetSize servers, so with the
	// default of 80, 21 or more services exceed it.
	MaxServers int
	// ProbeAfter is the age of a server's newest load at which the server is probed if
	// it is in the subset; the default is 1 s.
	ProbeAfter time.Duration
	// Seed seeds the random choices, together with the node's ID.
	Seed uint64
	// Outlier holds the thresholds for the ejection of failing and slow servers.
	Outlier outlier.Config
}

func (c Config) withDefaults() Config {
	for v, d := range map[*time.Duration]time.Duration{
		&c.LocalDelay:     100 * time.Microsecond,
		&c.DomainDelay:    time.Millisecond,
		&c.RegionDelay:    8 * time.Millisecond,
		&c.InitialRunTime: 10 * time.Millisecond,
		&c.SlowStart:      3 * time.Second,
		&c.ProbeAfter:     time.Second,
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

// minSubsetSize is the smallest subset size that a division of MaxServers results in.
// It leaves a choice between servers when many services are in use.
const minSubsetSize = 4

// subsetSize returns the subset size of each service if n services are in use.
func (c *Config) subsetSize(n int) int {
	return min(c.SubsetSize, max(c.MaxServers/max(n, 1), minSubsetSize))
}

// roundTrip returns the round-trip time to a server and its locality.
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

// locality is the distance of a server from the node; lower values are closer.
type locality uint8

const (
	sameDomain locality = iota
	sameRegion
	otherRegion
	localityCount
)

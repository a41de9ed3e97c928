// Package experiment measures placement policies with an event loop on a fake clock,
// fake backend servers and fixed one-way delays. Nothing else of the network is
// modelled.
package experiment

import (
	"fmt"
	"time"

	"github.com/vanillasail/vanillasail/pkg/routing"
)

const (
	// meanRunTime is the mean of the lognormal run times, runTimeSigma the standard
	// deviation of their logarithm.
	meanRunTime  = 10 * time.Millisecond
	runTimeSigma = 0.5
	// localDelay is the one-way delay within a failure domain.
	localDelay = 100 * time.Microsecond
	service    = "stock"
)

// Deployment is the layout of a user's servers, see section 1.5 of docs/design.md.
// Every server has a node beside it, which is also an entry node.
type Deployment struct {
	Name        string
	Regions     []string
	Servers     int
	Slots       int
	DomainDelay time.Duration
	RegionDelay time.Duration
}

// GeadaSul returns the stock endpoints of Geada Sul Logística.
func GeadaSul() Deployment {
	return Deployment{
		Name: "geada", Regions: []string{"poa", "cwb", "fln"}, Servers: 10, Slots: 12,
		DomainDelay: time.Millisecond, RegionDelay: 8 * time.Millisecond,
	}
}

// Union returns the order desk of the Union Tunisienne.
func Union() Deployment {
	return Deployment{
		Name: "union", Regions: []string{"tunis", "sfax", "sousse"}, Servers: 8, Slots: 18,
		DomainDelay: 1500 * time.Microsecond, RegionDelay: 8 * time.Millisecond,
	}
}

// server returns the announcement of the i-th server. Servers are assigned to the
// regions in turn, then to the two failure domains of each region.
func (d Deployment) server(i int) routing.Server {
	n := len(d.Regions)
	return routing.Server{
		ID: fmt.Sprint("n", i), Service: service, Slots: d.Slots,
		Region: d.Regions[i%n], Domain: fmt.Sprint(d.Regions[i%n], i/n%2),
	}
}

func (d Deployment) delay(a, b routing.Server) time.Duration {
	switch {
	case a.ID == b.ID:
		return 0
	case a.Region != b.Region:
		return d.RegionDelay
	case a.Domain != b.Domain:
		return d.DomainDelay
	default:
		return localDelay
	}
}

// rate returns the requests per second that keep the given share of the slots busy.
func (d Deployment) rate(load float64) float64 {
	return load * float64(d.Servers*d.Slots) / meanRunTime.Seconds()
}

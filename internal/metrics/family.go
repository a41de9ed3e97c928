package metrics

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	gometrics "github.com/rcrowley/go-metrics"
)

// Family is a metric family: all series with the same name.
type Family struct {
	desc *prometheus.Desc
	name string
}

func newFamily(name, help string, labels ...string) Family {
	name = "vanillasail_" + name
	return Family{prometheus.NewDesc(name, help, labels, nil), name}
}

// Metric families, as listed in docs/operators.md.
var (
	familyLatency   = newFamily("request_latency_seconds", "Time until a caller had its whole answer; refusals are not included.", "service", "class", "tenant")
	familyRequests  = newFamily("requests_total", "Requests of callers by outcome: ran, refused, unknown.", "service", "class", "tenant", "outcome")
	familyRefusals  = newFamily("refusals_total", "Refused requests of callers by kind of problem.", "service", "class", "tenant", "kind")
	familyDecisions = newFamily("decisions_total", "Decisions by action: place, retry, handover, hedge, refuse, replay.", "service", "action")

	familyMessages = newFamily("measuring_messages_total", "Messages of measuring by link or server, class of traffic and verdict of the budget.", "from", "to", "class", "verdict")
	familyBytes    = newFamily("measuring_bytes_total", "Bytes of measuring by link or server, class of traffic and verdict of the budget.", "from", "to", "class", "verdict")

	ServerRequests    = newFamily("server_requests", "Requests at the backend server beside this node: running, queued.", "state")
	ServerSlots       = newFamily("server_slots", "Requests that the backend server beside this node may run at once.")
	PeerLinks         = newFamily("peer_links", "Open connections to other nodes.")
	CallerConnections = newFamily("caller_connections", "Connections of callers: open, busy.", "state")
	Members           = newFamily("members", "Nodes that this node knows.")
	ConfigVersion     = newFamily("config_version", "Configuration version in force at this node.")
)

// descriptor holds the family and the label values under which a go-metrics metric is
// exported.
type descriptor struct {
	family Family
	values []string
}

func (d descriptor) name() string { return d.family.name + "\x00" + strings.Join(d.values, "\x00") }

type counter struct {
	gometrics.Counter
	descriptor
}

func newCounter(r gometrics.Registry, f Family, values ...string) *counter {
	c := &counter{gometrics.NewCounter(), descriptor{f, values}}
	_ = r.Register(c.name(), c)
	return c
}

type gauge struct {
	gometrics.Gauge
	descriptor
}

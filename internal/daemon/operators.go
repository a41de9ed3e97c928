package daemon

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/vanillasail/vanillasail/internal/http1"
	"github.com/vanillasail/vanillasail/internal/metrics"
	"github.com/vanillasail/vanillasail/internal/object"
	"github.com/vanillasail/vanillasail/internal/operator"
	"github.com/vanillasail/vanillasail/internal/store"
	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/member"
	"github.com/vanillasail/vanillasail/pkg/outlier"
	"github.com/vanillasail/vanillasail/pkg/routing"
)

// maxCommand bounds the body of an operator's request.
const maxCommand = 2 << 20

// operators serves the command language of the operators on a separate address.
type operators struct {
	http1.Server
	node    *Node
	console operator.Console
	keys    operator.Keys
}

func (o *operators) assemble(n *Node) error {
	o.node = n
	if n.TokenSecret != "" {
		key, err := operator.SecretKey("settings", []byte(n.TokenSecret))
		if err != nil {
			return err
		}
		o.keys = operator.Keys{key}
	}
	o.console = operator.Console{
		Config: &n.config, Members: memberView{n}, Shards: shardView{n}, Decisions: &n.telemetry.decisions, Reports: &n.telemetry.reports, Log: n.Log,
	}
	if n.Object != "" {
		o.console.Objects = object.Client{Endpoint: store.Endpoint{Base: n.Object, Timeout: n.StoreTimeout}}
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", &operator.Handler{Console: &o.console, Keys: func() operator.Keys { return o.keys }})
	mux.Handle("GET /metrics", metrics.Handler(&n.telemetry.metrics, &n.limits))
	mux.HandleFunc("GET /ready", o.ready)
	o.Handler = http1.Adapt(mux)
	o.Limits.Body = maxCommand
	return nil
}

// readiness is the answer to the platform's health check and to scripts.
type readiness struct {
	Ready   bool   `json:"ready"`
	Version uint64 `json:"version"`
	// Servers counts the servers of the service that get new requests.
	Servers int `json:"servers"`
}

func (o *operators) ready(w http.ResponseWriter, r *http.Request) {
	state := readiness{Ready: o.node.config.Ready() && !o.node.serverProxy.stopping.Load(), Version: uint64(o.node.config.Version())}
	for _, s := range o.node.routes.Snapshot(r.URL.Query().Get("service")) {
		if !s.Draining {
			state.Servers++
		}
	}
	w.Header().Set("Content-Type", "application/json")
	if !state.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(state)
}

// memberView lists the servers that this node knows.
type memberView struct{ *Node }

// Servers implements operator.Members.
func (v memberView) Servers(context.Context) []operator.Server {
	var all []operator.Server
	for _, service := range v.routes.Services() {
		for _, s := range v.routes.Snapshot(service) {
			m, _ := v.members.protocol.Table().Get(s.ID)
			all = append(all, operator.Server{
				ID: s.ID, Service: service, Region: s.Region, Domain: s.Domain, Addr: m.Addr, State: serverState(m, s),
				Slots: s.Slots, InFlight: s.Own, Queued: max(0, int(s.Load)-s.Slots),
				Latency: s.Latency, Age: s.Age, Config: config.Version(m.Config),
			})
		}
	}
	return all
}

// serverState returns the state of a server for operators. Routing takes each server as
// draining whose member accepts no requests, also one that is dead or unreachable.
func serverState(m member.Member, s routing.ServerState) string {
	switch {
	case m.State == member.StateDead || m.State == member.StateUnreachable:
		return m.State.String()
	case s.Draining:
		return stateDraining
	case s.State != "" && s.State != outlier.Serving.String():
		return s.State
	}
	return m.State.String()
}

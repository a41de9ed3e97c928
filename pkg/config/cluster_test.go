package config_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"

	"pgregory.net/rapid"

	"github.com/vanillasail/vanillasail/internal/standin/store"
	endpoint "github.com/vanillasail/vanillasail/internal/store"
	"github.com/vanillasail/vanillasail/internal/table"
	"github.com/vanillasail/vanillasail/pkg/config"
)

const unlimited = 1 << 30

// cluster is a set of nodes and one stand-in of the store, in one process and
// without a network.
type cluster struct {
	store store.Handler
	nodes []*node
	// lateWrites holds writes whose client timed out before they took effect.
	lateWrites    []*http.Request
	lateDelivered int
	// inFlight holds records that were sent between nodes. They are never
	// removed, so that old records are delivered again.
	inFlight []config.Record
	sent     []config.Change
	// versionIDs, accepted and rejected hold change IDs: those of the versions
	// seen in the store, those reported as accepted with their version, and
	// those reported as not applied.
	versionIDs map[config.Version]string
	accepted   map[string]config.Version
	rejected   map[string]bool
}

// node is one node of the cluster. It reaches the store and its peers unless it
// is partitioned, and does nothing while it is paused.
type node struct {
	*cluster
	manager             *config.Manager
	lastVersion         config.Version
	partitioned, paused bool
	delayWrite          bool   // the next write is delayed beyond the client's timeout
	onWrite             func() // runs once during the next write
}

func newCluster(size int) *cluster {
	c := &cluster{versionIDs: map[config.Version]string{}, accepted: map[string]config.Version{}, rejected: map[string]bool{}}
	c.store.Table.SetFault(store.Fault{Writes: unlimited, Reads: unlimited})
	for range size {
		n := &node{cluster: c}
		n.restart()
		c.nodes = append(c.nodes, n)
	}
	return c
}

func (n *node) restart() {
	client := table.Client{Endpoint: endpoint.Endpoint{Base: "http://store", HTTP: &http.Client{Transport: n}}}
	n.manager = &config.Manager{Store: table.ConfigRows{Client: client}, Peers: n}
	n.lastVersion, n.paused = 0, false
}

// RoundTrip sends one request to the stand-in and injects the node's faults.
func (n *node) RoundTrip(r *http.Request) (*http.Response, error) {
	if n.partitioned {
		return nil, errors.New("connection refused")
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	if r.Method == http.MethodPut {
		if run := n.onWrite; run != nil {
			n.onWrite = nil
			run()
		}
		if n.delayWrite {
			n.delayWrite = false
			n.lateWrites = append(n.lateWrites, r.Clone(context.Background()))
			return nil, context.DeadlineExceeded
		}
	}
	return n.serve(r)
}

func (c *cluster) serve(r *http.Request) (resp *http.Response, err error) {
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			resp, err = nil, io.ErrUnexpectedEOF
		}
	}()
	c.store.ServeHTTP(w, r)
	return w.Result(), nil
}

// Versions implements config.Peers.
func (n *node) Versions(context.Context) (answers []config.PeerVersion) {
	for i, peer := range n.nodes {
		if n.reaches(peer) {
			answers = append(answers, config.PeerVersion{Peer: string(rune('0' + i)), Version: peer.manager.Version()})
		}
	}
	return answers
}

// Fetch implements config.Peers.
func (n *node) Fetch(_ context.Context, peer string) (config.Record, error) {
	p := n.nodes[peer[0]-'0']
	if !n.reaches(p) {
		return config.Record{}, errors.New("unreachable")
	}
	return p.manager.Current().Record, nil
}

func (n *node) reaches(peer *node) bool {
	return peer != n && !n.partitioned && !peer.partitioned && !peer.paused && peer.manager.Ready()
}

// storeRows reads all rows with fault injection switched off.
func (c *cluster) storeRows(t *rapid.T) map[config.Version]config.Record {
	faults := c.store.Table.Fault()
	c.store.Table.SetFault(store.Fault{Writes: unlimited, Reads: unlimited})
	defer c.store.Table.SetFault(faults)
	client := table.Client{Endpoint: endpoint.Endpoint{Base: "http://store", HTTP: &http.Client{Transport: &node{cluster: c}}}}
	rows, err := client.List(context.Background(), "config/")
	if err != nil {
		t.Fatal(err)
	}
	records := map[config.Version]config.Record{}
	for _, row := range rows {
		r, err := config.DecodeRecord(row.Value)
		if err != nil {
			t.Fatal(err)
		}
		records[r.Version] = r
	}
	return records
}

// check verifies the invariants: versions have no gaps and never change, each
// change is applied at most once, and the store, the nodes and the replies to
// operators agree.
func (c *cluster) check(t *rapid.T) {
	records := c.storeRows(t)
	ids := map[string]config.Version{}
	for v := config.Version(1); v <= config.Version(len(records)); v++ {
		r, ok := records[v]
		if !ok {
			t.Fatalf("version %d is missing below version %d", v, len(records))
		}
		if other, twice := ids[r.ID]; twice {
			t.Fatalf("change %s was applied twice, as versions %d and %d", r.ID, other, v)
		}
		ids[r.ID] = v
		if before, known := c.versionIDs[v]; known && before != r.ID {
			t.Fatalf("version %d reverted from change %s to %s", v, before, r.ID)
		}
		c.versionIDs[v] = r.ID
		if c.rejected[r.ID] {
			t.Fatalf("change %s became version %d after it was reported as not applied", r.ID, v)
		}
	}
	for id, v := range c.accepted {
		if records[v].ID != id {
			t.Fatalf("version %d holds change %s, but %s was reported as accepted", v, records[v].ID, id)
		}
	}
	for i, n := range c.nodes {
		n.check(t, i, records)
	}
}

func (n *node) check(t *rapid.T, i int, records map[config.Version]config.Record) {
	r := n.manager.Current().Record
	if r.Version < n.lastVersion {
		t.Fatalf("node %d reverted from version %d to %d", i, n.lastVersion, r.Version)
	}
	if r.Version > 0 && records[r.Version].ID != r.ID {
		t.Fatalf("node %d holds change %s as version %d, the store holds %s", i, r.ID, r.Version, records[r.Version].ID)
	}
	n.lastVersion = r.Version
}

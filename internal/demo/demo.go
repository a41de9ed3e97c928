// Package demo runs a small cluster in one process on the loopback interface: nodes,
// stand-ins for backend servers, and callers. It injects a few faults and checks
// invariants.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/vanillasail/vanillasail/internal/daemon"
	"github.com/vanillasail/vanillasail/internal/load"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/internal/standin/server"
	"github.com/vanillasail/vanillasail/internal/standin/store"
)

const (
	service      = "stock"
	serverSlots  = 12
	serverDelay  = 5 * time.Millisecond
	readyTimeout = 10 * time.Second
)

// places holds the pairs of region and failure domain to which nodes are assigned in
// turn.
var places = []struct{ region, domain string }{
	{"poa", "a"}, {"poa", "b"}, {"cwb", "a"}, {"cwb", "b"}, {"fln", "a"}, {"fln", "b"},
}

// Options holds the parameters of a demo.
type Options struct {
	Nodes   int
	Callers int
	// Slots is the number of slots of each backend server.
	Slots int
	// Time is the duration for which callers send requests.
	Time time.Duration
	Out  io.Writer
}

// cluster holds the components that run during a demo or a benchmark.
type cluster struct {
	Options
	store   store.Server
	nodes   []*daemon.Node
	servers []*server.Server
	load    load.Generator
}

// Run runs the demo and reports whether all invariants held.
func Run(ctx context.Context, o Options) (bool, error) {
	o.Slots = serverSlots
	s := &cluster{Options: o}
	defer s.kill()
	if err := s.start(ctx); err != nil {
		return false, err
	}
	fmt.Fprintf(o.Out, "%d nodes and backend servers of service %q, %d callers, %s\n", o.Nodes, service, o.Callers, o.Time)
	ctx, cancel := context.WithTimeout(ctx, o.Time)
	defer cancel()
	go s.injectFaults(ctx)
	go s.printProgress(ctx)
	s.load.Service, s.load.Callers = service, o.Callers
	for _, n := range s.nodes {
		s.load.Use(n.CallerAddr())
	}
	s.load.Run(ctx)
	return s.printReport(), nil
}

// start starts the store, the nodes and a backend server for each node, and waits
// until the cluster is ready.
func (s *cluster) start(ctx context.Context) error {
	authority, err := node.NewAuthority("demo", time.Hour)
	if err != nil {
		return err
	}
	if err := s.store.Start("127.0.0.1:0"); err != nil {
		return err
	}
	for i := range s.Nodes {
		n, err := s.startNode(authority, i)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		b := &server.Server{Service: service, Slots: s.Slots, Delay: serverDelay, Announce: n.AnnounceAddr(), Entry: n.CallerAddr()}
		if err := b.Start("127.0.0.1:0"); err != nil {
			return err
		}
		s.servers = append(s.servers, b)
	}
	return s.awaitReady(ctx)
}

func (s *cluster) startNode(authority *node.Authority, i int) (*daemon.Node, error) {
	id := fmt.Sprintf("n%d", i)
	cert, key, err := authority.Issue(id, time.Hour)
	if err != nil {
		return nil, err
	}
	credentials := &node.Credentials{}
	if err := credentials.Replace(cert, key, authority.CertPEM); err != nil {
		return nil, err
	}
	place := places[i%len(places)]
	n := &daemon.Node{Options: daemon.Options{
		ID: id, Region: place.region, Domain: place.domain,
		Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Announce: "127.0.0.1:0", Operator: "127.0.0.1:0",
		TokenSecret: "an operator secret of at least 32 characters",
		Secret:      "secret of the demo cluster", Table: s.store.URL(), Object: s.store.URL(),
		Credentials: credentials, Notice: 500 * time.Millisecond,
		Log: &log.Logger{Handler: discard.Default},
	}}
	return n, n.Start()
}

// awaitReady waits until every node can send requests to every backend server.
func (s *cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for {
		ready := 0
		for _, n := range s.nodes {
			if len(n.Servers(service)) == s.Nodes {
				ready++
			}
		}
		if ready == s.Nodes {
			return nil
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return fmt.Errorf("only %d of %d nodes had found all backend servers after %s", ready, s.Nodes, readyTimeout)
		}
	}
}

func (s *cluster) kill() {
	for _, b := range s.servers {
		b.Kill()
	}
	for _, n := range s.nodes {
		n.Kill()
	}
	_ = s.store.Stop(context.Background())
}

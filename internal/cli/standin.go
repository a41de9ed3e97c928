package cli

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/vanillasail/vanillasail/internal/standin/relay"
	"github.com/vanillasail/vanillasail/internal/standin/server"
	"github.com/vanillasail/vanillasail/internal/standin/store"
)

// standinCommand runs a stand-in for an external system, for tests.
type standinCommand struct {
	addr, admin, service, announce, entry, journal, target string
	slots                                                  int
	delay                                                  time.Duration
}

// Name implements subcommands.Command.
func (*standinCommand) Name() string { return "standin" }

// Synopsis implements subcommands.Command.
func (*standinCommand) Synopsis() string { return "run a stand-in for an external system, for tests" }

// Usage implements subcommands.Command.
func (*standinCommand) Usage() string {
	return "vanillasail standin [flags] server|relay|store\n\nserver: a backend server that announces itself; POST /fault/NAME?value=N sets slow,\nfail, shed or lie, GET /journal lists the runs, GET /counts counts faults.\nstore: the table service and object store; PUT /fault?target=table&NAME=VALUE (or\nobject, or both without target) sets down, silent, slow, lose, writes or reads.\nrelay: forwards TCP and UDP from -addr to -target;\nPOST /mode?value=pass|cut|silent|one-way on -admin.\n\nExample: vanillasail standin -addr 127.0.0.1:9001 -announce 127.0.0.1:8081 -service stock server\n"
}

// SetFlags implements subcommands.Command.
func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.addr, "addr", "127.0.0.1:0", "address to listen on")
	f.StringVar(&c.admin, "admin", "127.0.0.1:0", "address on which the relay listens for changes of its mode")
	f.StringVar(&c.service, "service", "stock", "service of the backend server")
	f.StringVar(&c.announce, "announce", "", "address of the node to which the server announces itself")
	f.StringVar(&c.entry, "entry", "", "caller address of a node, to which the server sends the calls of a chain")
	f.StringVar(&c.journal, "journal", "", "file to which the server appends each run before it starts")
	f.StringVar(&c.target, "target", "", "address to which the relay forwards")
	f.IntVar(&c.slots, "slots", 12, "number of requests that the server runs at once")
	f.DurationVar(&c.delay, "delay", 0, "processing time of a request, or delay that the relay adds")
}

// Execute implements subcommands.Command.
func (c *standinCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	run := map[string]func(context.Context) error{"server": c.server, "relay": c.relay, "store": c.store}[f.Arg(0)]
	if run == nil {
		return subcommands.ExitUsageError
	}
	if err := run(ctx); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *standinCommand) server(ctx context.Context) error {
	s := &server.Server{
		Service: c.service, Slots: c.slots, Announce: c.announce, Entry: c.entry,
		Delay: c.delay, JournalPath: c.journal, Crash: func() { os.Exit(3) },
	}
	if err := s.Start(c.addr); err != nil {
		return err
	}
	fmt.Printf("server listens on %s\n", s.Addr())
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	s.Stop(stopCtx)
	return nil
}

func (c *standinCommand) relay(ctx context.Context) error {
	r := &relay.Relay{Target: c.target, Delay: c.delay}
	if err := r.StartTCP(c.addr); err != nil {
		return err
	}
	if err := r.StartUDP(c.addr); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.admin)
	if err != nil {
		return err
	}
	fmt.Printf("relay listens on %s, admin on %s\n", r.TCPAddr(), listener.Addr())
	admin := &http.Server{Handler: r, ReadHeaderTimeout: time.Second}
	go func() { _ = admin.Serve(listener) }()
	<-ctx.Done()
	r.Close()
	return admin.Close()
}

func (c *standinCommand) store(ctx context.Context) error {
	var s store.Server
	if err := s.Start(c.addr); err != nil {
		return err
	}
	fmt.Printf("store listens on %s\n", s.URL())
	<-ctx.Done()
	return s.Stop(context.WithoutCancel(ctx))
}

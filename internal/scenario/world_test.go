package scenario

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/vanillasail/vanillasail/internal/load"
	"github.com/vanillasail/vanillasail/internal/node"
)

const (
	awaitTimeout = 60 * time.Second
	awaitPause   = 25 * time.Millisecond
)

func exit(code int) { os.Exit(code) }

// world is everything that one script started.
type world struct {
	dir, path string
	// ip is the loopback address of this script; taken are ports given out.
	ip        string
	taken     map[string]bool
	mu        sync.Mutex
	processes map[string]*process
	// nodes and store are addresses by name.
	nodes   []nodeAddrs
	store   string
	slots   int
	body    string
	callers load.Generator
	running *runningLoad
	client  http.Client
	begun   []background
	// authorities holds those that scripts created, by name.
	authorities map[string]*node.Authority
	stranger    *node.Transport
	// last is the answer to the last send.
	last answer
}

// nodeAddrs are the addresses of node i and of the server beside it.
type nodeAddrs struct {
	id, caller, peer, announce, operator, server, relay, relayAdmin string
}

// process is a started process that can be signalled and started again.
type process struct {
	args []string
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

func (w *world) run(name string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	binary, err := w.binary()
	if err != nil {
		return err
	}
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr, cmd.Dir = log, log, w.dir
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{args: args, cmd: cmd, done: make(chan struct{}), log: log}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	w.processes[name] = p
	return nil
}

func (w *world) binary() (string, error) {
	for _, dir := range filepath.SplitList(w.path) {
		file := filepath.Join(dir, "vanillasail")
		if _, err := os.Stat(file); err == nil {
			return file, nil
		}
	}
	return "", fmt.Errorf("vanillasail is not in %s", w.path)
}

func (w *world) close() {
	if w.running != nil {
		w.running.stop()
	}
	_ = w.leave(nil)
	w.closeStranger()
	for _, p := range w.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		_ = p.log.Close()
	}
}

// cluster starts the store, and N nodes with a server each. Options: slots=N,
// delay=DURATION, body=SIZE (largest request body), relays (each node is reached
// by the others through a relay).
func (w *world) cluster(args []string) error {
	size, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	options := map[string]string{"slots": "12", "delay": "2ms", "body": "8MB"}
	for _, arg := range args[1:] {
		key, value, _ := strings.Cut(arg, "=")
		options[key] = value
	}
	_, relays := options["relays"]
	w.body = options["body"]
	if w.slots, err = strconv.Atoi(options["slots"]); err != nil {
		return err
	}
	w.store = w.freeAddr()
	if err := w.run("store", "standin", "-addr", w.store, "store"); err != nil {
		return err
	}
	if err := w.writeKeys(size, "first", "first"); err != nil {
		return err
	}
	w.callers.Service, w.callers.Callers = "stock", 8
	for i := range size {
		if err := w.startPair(i, options, relays); err != nil {
			return err
		}
		w.callers.Use(w.nodes[i].caller)
	}
	return w.awaitAll(size)
}

func (w *world) startPair(i int, options map[string]string, relays bool) error {
	a := nodeAddrs{id: "n" + strconv.Itoa(i)}
	for _, addr := range []*string{&a.caller, &a.peer, &a.announce, &a.operator, &a.server, &a.relay, &a.relayAdmin} {
		*addr = w.freeAddr()
	}
	w.nodes = append(w.nodes, a)
	advertise := ""
	if relays {
		advertise = a.relay
		if err := w.run("r"+strconv.Itoa(i), "standin", "-addr", a.relay, "-admin", a.relayAdmin, "-target", a.peer, "relay"); err != nil {
			return err
		}
	}
	if err := os.WriteFile(filepath.Join(w.dir, a.id+".yaml"), []byte(w.settings(i, advertise)), 0o600); err != nil {
		return err
	}
	if err := w.run(a.id, "node", "-settings", a.id+".yaml"); err != nil {
		return err
	}
	return w.run("s"+strconv.Itoa(i), "standin", "-addr", a.server, "-service", "stock", "-announce", a.announce, "-entry", a.caller,
		"-slots", options["slots"], "-delay", options["delay"], "-journal", "s"+strconv.Itoa(i)+".journal", "server")
}

func (w *world) settings(i int, advertise string) string {
	a := w.nodes[i]
	text := fmt.Sprintf(`node: {id: %s, region: %s, domain: d%d}
listen: {caller: "%s", peer: "%s", announce: "%s", operator: "%s"`,
		a.id, []string{"poa", "cwb"}[i/2%2], i%2, a.caller, a.peer, a.announce, a.operator)
	if advertise != "" {
		text += fmt.Sprintf(`, advertise: "%s"`, advertise)
	}
	seed := w.nodes[0].peer
	if advertise != "" {
		seed = w.nodes[0].relay
	}
	return text + fmt.Sprintf(`}
tls: {cert: %s.pem, key: %s.key, ca: ca.pem}
secret: a secret of the scenario cluster
tokens: {secret: "%s"}
store: {table: "http://%s", object: "http://%s", timeout: 1s}
seeds: ["%s"]
notice: 1s
body: %s
log: {level: debug}
`, a.id, a.id, tokenSecret, w.store, w.store, seed, w.body)
}

const tokenSecret = "a token secret of the scenario cluster"

// freeAddr returns an address whose port is free for TCP and UDP. Each script
// has a loopback address of its own: on 127.0.0.1 an outgoing connection could
// take the port before its process is started, or while it is replaced.
func (w *world) freeAddr() string {
	for {
		listener, err := net.Listen("tcp", w.ip+":0")
		if err != nil {
			panic(err)
		}
		addr := listener.Addr().String()
		_ = listener.Close()
		packets, err := net.ListenPacket("udp", addr)
		if err != nil {
			continue
		}
		_ = packets.Close()
		if !w.taken[addr] {
			w.taken[addr] = true
			return addr
		}
	}
}

// scripts counts the scripts of this process.
var scripts atomic.Int32

// newIP returns a loopback address that no other script of this process uses.
func newIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid/250%240, 1+pid%250, scripts.Add(1)%250)
}

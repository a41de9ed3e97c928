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
	pollInterval = 25 * time.Millisecond
)

func exit(code int) { os.Exit(code) }

// environment holds the processes and the state of one script.
type environment struct {
	// dir is the working directory of the script, searchPath the PATH in which the
	// vanillasail binary is found.
	dir, searchPath string
	// loopbackIP is the loopback address of this script; usedAddrs are the addresses
	// that have been assigned.
	loopbackIP string
	usedAddrs  map[string]bool
	mu         sync.Mutex
	processes  map[string]*process
	// nodes and store hold the addresses of the processes.
	nodes       []nodeAddrs
	store       string
	slots       int
	maxBody     string
	callers     load.Generator
	currentLoad *backgroundLoad
	client      http.Client
	pending     []backgroundRequest
	// authorities holds the certificate authorities of the script by name.
	authorities map[string]*node.Authority
	// nonMember is the client of the commands connect and intrude.
	nonMember *node.Transport
	// lastAnswer is the answer to the last request or operator command.
	lastAnswer answer
}

// nodeAddrs holds the ID and the addresses of one node, and the addresses of the
// server beside it and of the relay in front of it.
type nodeAddrs struct {
	id, caller, peer, announce, operator, server, relay, relayAdmin string
}

// process is a process that can be signalled and restarted.
type process struct {
	args []string
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

func (e *environment) startProcess(name string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(e.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	binary, err := e.binary()
	if err != nil {
		return err
	}
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr, cmd.Dir = log, log, e.dir
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{args: args, cmd: cmd, done: make(chan struct{}), log: log}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	e.processes[name] = p
	return nil
}

// binary returns the path of the vanillasail command.
func (e *environment) binary() (string, error) {
	for _, dir := range filepath.SplitList(e.searchPath) {
		file := filepath.Join(dir, "vanillasail")
		if _, err := os.Stat(file); err == nil {
			return file, nil
		}
	}
	return "", fmt.Errorf("vanillasail is not in %s", e.searchPath)
}

func (e *environment) close() {
	if e.currentLoad != nil {
		e.currentLoad.stop()
	}
	_ = e.leave(nil)
	e.closeNonMember()
	for _, p := range e.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		_ = p.log.Close()
	}
}

// cluster implements "cluster N [OPTION...]", which starts the store and N nodes with
// a server each. Options: slots=N, delay=DURATION, body=SIZE (largest request body),
// relays (other nodes reach each node through a relay).
func (e *environment) cluster(args []string) error {
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
	e.maxBody = options["body"]
	if e.slots, err = strconv.Atoi(options["slots"]); err != nil {
		return err
	}
	e.store = e.freeAddr()
	if err := e.startProcess("store", "standin", "-addr", e.store, "store"); err != nil {
		return err
	}
	if err := e.writeKeys(size, "first", "first"); err != nil {
		return err
	}
	e.callers.Service, e.callers.Callers = "stock", 8
	for i := range size {
		if err := e.startNodeAndServer(i, options, relays); err != nil {
			return err
		}
		e.callers.Use(e.nodes[i].caller)
	}
	return e.awaitAll(size)
}

func (e *environment) startNodeAndServer(i int, options map[string]string, relays bool) error {
	a := nodeAddrs{id: "n" + strconv.Itoa(i)}
	for _, addr := range []*string{&a.caller, &a.peer, &a.announce, &a.operator, &a.server, &a.relay, &a.relayAdmin} {
		*addr = e.freeAddr()
	}
	e.nodes = append(e.nodes, a)
	advertise := ""
	if relays {
		advertise = a.relay
		if err := e.startProcess("r"+strconv.Itoa(i), "standin", "-addr", a.relay, "-admin", a.relayAdmin, "-target", a.peer, "relay"); err != nil {
			return err
		}
	}
	if err := os.WriteFile(filepath.Join(e.dir, a.id+".yaml"), []byte(e.settings(i, advertise)), 0o600); err != nil {
		return err
	}
	if err := e.startProcess(a.id, "node", "-settings", a.id+".yaml"); err != nil {
		return err
	}
	return e.startProcess("s"+strconv.Itoa(i), "standin", "-addr", a.server, "-service", "stock", "-announce", a.announce, "-entry", a.caller,
		"-slots", options["slots"], "-delay", options["delay"], "-journal", "s"+strconv.Itoa(i)+".journal", "server")
}

func (e *environment) settings(i int, advertise string) string {
	a := e.nodes[i]
	text := fmt.Sprintf(`node: {id: %s, region: %s, domain: d%d}
listen: {caller: "%s", peer: "%s", announce: "%s", operator: "%s"`,
		a.id, []string{"poa", "cwb"}[i/2%2], i%2, a.caller, a.peer, a.announce, a.operator)
	if advertise != "" {
		text += fmt.Sprintf(`, advertise: "%s"`, advertise)
	}
	seed := e.nodes[0].peer
	if advertise != "" {
		seed = e.nodes[0].relay
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
`, a.id, a.id, tokenSecret, e.store, e.store, seed, e.maxBody)
}

const tokenSecret = "a token secret of the scenario cluster"

// freeAddr returns an address whose port is free for TCP and UDP. Each script has its
// own loopback address, because on 127.0.0.1 an outgoing connection could be assigned
// the port before the process is started or while it is replaced.
func (e *environment) freeAddr() string {
	for {
		listener, err := net.Listen("tcp", e.loopbackIP+":0")
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
		if !e.usedAddrs[addr] {
			e.usedAddrs[addr] = true
			return addr
		}
	}
}

// scriptCount is the number of scripts started by this test process.
var scriptCount atomic.Int32

// newLoopbackIP returns a loopback address that no other script of this test process
// uses.
func newLoopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid/250%240, 1+pid%250, scriptCount.Add(1)%250)
}

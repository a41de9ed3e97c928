package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/platform/standin"
)

// deployment is a small system with its stand-ins.
type deployment struct {
	*recorder
	dir, binary string
	store       standin.Store
	hosts       []*host
	http        http.Client
	ctx         context.Context
	cancel      context.CancelFunc
	cleanups    []func()
	closing     sync.Once
	version     int
	// storeAddr is where nodes reach the store.
	storeAddr string

	mu sync.Mutex
	// servers are all servers that have been started.
	servers []*server
}

// The bounds of the users' rules that the cases check or wait for.
const (
	// addrReuse is the time after which the address of a server that has ended may be given
	// to another one.
	addrReuse = 2 * time.Second
	// drainTime is how long after the acknowledgement a leaving server may still get
	// requests.
	drainTime = 2 * time.Second
	// stableWindow is how long a machine must have been undisturbed for bounds to hold.
	stableWindow = 3 * time.Second
	// configApply is how long a change may take until it is in force.
	configApply = 2 * time.Second
)

const (
	readyTimeout = 20 * time.Second
	learnTime    = 2 * time.Second
)

func newDeployment(r *recorder, o options) (*deployment, error) {
	dir, err := os.MkdirTemp("", "trial-")
	if err != nil {
		return nil, err
	}
	d := &deployment{recorder: r, dir: dir, binary: o.binary}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.http.Timeout = time.Second
	d.http.Transport = &http.Transport{DisableKeepAlives: true}
	d.store.Start(func(f func()) { d.cleanups = append(d.cleanups, f) })
	d.storeAddr = d.store.Addr()
	return d, nil
}

// close ends all processes that the case has started.
func (d *deployment) close() {
	d.closing.Do(func() {
		d.cancel()
		for _, h := range d.hosts {
			h.kill()
		}
		for _, s := range d.servers {
			s.crash()
		}
		for _, f := range d.cleanups {
			f()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(d.dir)
		}
	})
}

// abort ends the process with the exit code of a case that cannot run.
func (d *deployment) abort(reason string) {
	d.note("the case ends: %s", reason)
	d.close()
	d.recorder.close()
	os.Exit(failed)
}

var errNoAddress = errors.New("no free loopback address")

// freeIP returns a loopback address of which a host can use all ports.
func freeIP(n int) (string, error) {
	pid := os.Getpid()
	for try := range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 30+(pid/250+try)%200, 1+pid%250, 1+n)
		free := true
		for _, port := range []string{"7660", "8140", "8141", "8146", "8147", "9464"} {
			l, err := net.Listen("tcp", ip+":"+port)
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", errNoAddress
}

// addHost adds a host with a server of a service and starts its node.
func (d *deployment) addHost(service string, slots int) (*host, error) {
	n := len(d.hosts)
	ip, err := freeIP(n)
	if err != nil {
		return nil, err
	}
	zones := []string{"poa-a", "cwb-a", "fln-a"}
	zone := zones[n%len(zones)]
	region, _, _ := strings.Cut(zone, "-")
	h := &host{deployment: d, name: fmt.Sprintf("sidecar-%s-%d", zone, 1+n/len(zones)), service: service, zone: zone, region: region, ip: ip}
	d.hosts = append(d.hosts, h)
	if err := h.writeSettings(true, d.storeAddr); err != nil {
		return nil, err
	}
	if err := h.replaceServer(&server{id: fmt.Sprintf("i-%d-%s", n, service), service: service, slots: slots, work: 10 * time.Millisecond}); err != nil {
		return nil, err
	}
	if err := h.startNode(); err != nil {
		return nil, err
	}
	return h, nil
}

// addHosts adds hosts of both services and waits until their nodes are ready.
func (d *deployment) addHosts(stock, dispatch int) error {
	for i := range stock + dispatch {
		service := "estoque"
		if i >= stock {
			service = "expedicao"
		}
		if _, err := d.addHost(service, 12); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

// ran returns what all servers have run.
func (d *deployment) ran() (all []arrival) {
	d.mu.Lock()
	servers := d.servers
	d.mu.Unlock()
	for _, s := range servers {
		all = append(all, s.ran()...)
	}
	return all
}

// awaitReady waits until all nodes are ready, and lets them learn of each other.
func (d *deployment) awaitReady() error {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(50 * time.Millisecond) {
		missing := 0
		for _, h := range d.hosts {
			if !h.ready() {
				missing++
			}
		}
		switch {
		case missing == 0:
			d.write("all nodes are ready")
			time.Sleep(learnTime)
			return nil
		case time.Now().After(end):
			return fmt.Errorf("%d nodes are not ready", missing)
		}
	}
}

// route is a route of the configuration.
type route struct {
	prefix, kind, service string
	timeout               time.Duration
	attempts              int
}

const hostName = "orders.example"

// configure writes the next version of the configuration to the store.
func (d *deployment) configure(routes ...route) {
	d.version += 2
	var list []string
	for i, r := range routes {
		list = append(list, fmt.Sprintf(`{"name":"r-%d","host":%q,"pathPrefix":%q,"routeType":%q,"timeout":"%dms","targetLatency":"300ms","priority":1,"service":%q,"maxAttempts":%d}`,
			i, hostName, r.prefix, r.kind, r.timeout.Milliseconds(), r.service, r.attempts))
	}
	text := fmt.Sprintf(`{"version":"r%d","routes":[%s],"services":[{"name":"estoque","healthPath":%q,"maxConns":260,"protocol":"h1","tls":false},{"name":"expedicao","healthPath":%q,"maxConns":260,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}`,
		d.version, strings.Join(list, ","), healthPath, healthPath)
	d.store.Put("op", "config", []byte(text))
	d.write("the operator writes configuration r%d", d.version)
}

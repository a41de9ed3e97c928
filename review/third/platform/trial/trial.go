package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/platform/standin"
)

// trial is one play of a case.
type trial struct {
	// trouble is unset by TROUBLE=0, which leaves the disruption out.
	trouble bool
	dir     string
	began   time.Time
	store   standin.Store
	hosts   []*host
	// crashCaller is the service whose requests crash servers; empty means any.
	crashCaller string
	// tally counts the arrivals of the case calls; nil in others. derived is set if calls
	// have the ID of their request in theirs.
	tally   *tally
	derived bool

	mu       sync.Mutex
	out      *os.File
	cleanups []func()
}

func newTrial(recordPath string) (*trial, error) {
	out, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "trial-3-")
	if err != nil {
		return nil, err
	}
	t := &trial{trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), out: out}
	t.store.Start(t.addCleanup)
	return t, nil
}

func (t *trial) addCleanup(f func()) { t.cleanups = append(t.cleanups, f) }

// close ends all processes and removes the temporary folder.
func (t *trial) close() {
	for _, h := range t.hosts {
		h.end()
	}
	for _, f := range t.cleanups {
		f()
	}
	_ = os.RemoveAll(t.dir)
	_ = t.out.Close()
}

// record writes a line to the record of the case.
func (t *trial) record(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintf(t.out, "%8.3f s  %s\n", time.Since(t.began).Seconds(), fmt.Sprintf(format, args...))
}

// addHosts adds hosts on free loopback addresses and starts their nodes and servers. The
// services of the hosts are given in order.
func (t *trial) addHosts(services ...string) error {
	for i, service := range services {
		ip, err := freeIP(i)
		if err != nil {
			return err
		}
		h := &host{trial: t, name: fmt.Sprintf("sidecar-%d", i), ip: ip, service: service, index: i}
		t.hosts = append(t.hosts, h)
		if err := h.startServer(); err != nil {
			return err
		}
	}
	for _, h := range t.hosts {
		if err := h.startNode(true); err != nil {
			return err
		}
	}
	return nil
}

// freeIP returns a loopback address whose ports are free.
func freeIP(i int) (string, error) {
	for try := range 200 {
		ip := net.IPv4(127, byte(50+(os.Getpid()+try)%150), byte(1+os.Getpid()/150%250), byte(1+i)).String()
		if portsFree(ip) {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no free loopback address")
}

func portsFree(ip string) bool {
	for _, port := range []string{portPeer, portCallers, portReady, portReports, portServer, portMetrics} {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// awaitReady waits until all nodes answer the readiness probe with 200.
func (t *trial) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, h := range t.hosts {
			ready = ready && h.isReady()
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("nodes not ready after %s", limit)
}

var quickClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// post sends a heartbeat. A server that gets no answer sends the next one all the same.
func post(url string, body []byte) {
	response, err := quickClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
}

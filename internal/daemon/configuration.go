package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/internal/table"
	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/lag"
	"github.com/vanillasail/vanillasail/pkg/member"
	"github.com/vanillasail/vanillasail/pkg/retry"
)

const (
	kindConfigVersion = "config-version"
	kindConfigFetch   = "config-fetch"
	pollInterval      = 12 * time.Second
	peerTimeout       = time.Second
	// maxConcurrentQueries bounds the peers that are asked for their version at a time.
	maxConcurrentQueries = 16
)

// configuration keeps the configuration in force and announces its version to the
// other nodes.
type configuration struct {
	common
	config.Manager
	members   *membership
	transport *node.Transport
	// lastPoll is when the table service was last polled.
	lastPoll time.Time
	// loggedVersion is the last version that was logged.
	loggedVersion atomic.Uint64
	fetches       lag.Fetches
	// lag tracks for how long newer versions have been known.
	lag lag.Tracker
}

func (c *configuration) addControls(all map[string]node.ControlFunc) {
	all[kindConfigVersion] = func(context.Context, string, []byte) ([]byte, error) {
		return json.Marshal(c.Version())
	}
	all[kindConfigFetch] = func(context.Context, string, []byte) ([]byte, error) {
		record := c.Current().Record
		return record.Encode()
	}
}

func (c *configuration) assemble() {
	c.Store = table.ConfigRows{Client: c.tableClient()}
	c.Peers = configPeers{c}
	c.Manager.First = c.Options.First
}

// pullNewer fetches a newer version in the background from a member that has it.
func (c *configuration) pullNewer(ctx context.Context) {
	version, from := c.members.protocol.Config()
	now := time.Now()
	if c.lag.Seen(version, now) {
		c.Log.WithField("node", c.ID).WithField("version", version).WithField("from", from.ID).Info("newer configuration known")
	}
	if config.Version(version) > c.Version() && c.fetches.Begin(from.ID, now) {
		go func() {
			defer c.fetches.End(from.ID)
			if err := c.Pull(ctx, from.ID, config.Version(version)); err != nil {
				c.Log.WithError(err).WithField("node", c.ID).WithField("from", from.ID).WithField("version", version).
					WithField("behind", c.lag.Behind(time.Now())).Warn("cannot fetch the configuration")
			}
			c.announceVersion()
		}()
	}
	c.announceVersion()
}

// poll reads the configuration from the table service. It may block for StoreTimeout,
// so pullNewer does not wait for it.
func (c *configuration) poll(ctx context.Context, now time.Time) {
	if !c.Ready() {
		if err := c.Join(ctx); err != nil {
			c.Log.WithError(err).WithField("node", c.ID).Debug("no configuration known yet")
		}
	}
	if now.Sub(c.lastPoll) >= pollInterval {
		c.lastPoll = now
		if err := c.Poll(ctx); err != nil {
			c.Log.WithError(err).WithField("node", c.ID).Debug("cannot poll the table for a configuration")
		}
	}
	c.announceVersion()
}

// announceVersion announces the version in force to the other nodes, and logs it
// once.
func (c *configuration) announceVersion() {
	current := c.Current()
	loggedVersion := c.loggedVersion.Load()
	if loggedVersion < uint64(current.Version) && c.loggedVersion.CompareAndSwap(loggedVersion, uint64(current.Version)) {
		c.Log.WithField("node", c.ID).WithField("version", uint64(current.Version)).
			WithField("change", current.ID).WithField("behind", c.lag.Applied(uint64(current.Version), time.Now())).
			Info("configuration in force")
	}
	c.members.protocol.SetConfig(uint64(current.Version))
}

// Idempotent implements caller.Rules.
func (c *configuration) Idempotent(service, method, path string) (idempotent, known bool) {
	s, ok := c.Current().Document.Services[service]
	if !ok {
		return false, false
	}
	return s.Idempotent(method, path), true
}

// Timeout implements caller.Rules.
func (c *configuration) Timeout(service string) (usual, longest time.Duration) {
	return c.Current().Document.Services[service].Timeouts()
}

// Retries implements serviceLimits.
func (c *configuration) Retries(service string) (limit int, ratio float64) {
	return c.Current().Document.Services[service].RetryLimit()
}

// Hedges implements serviceLimits.
func (c *configuration) Hedges(service string) retry.HedgeRule {
	ratio, after := c.Current().Document.Services[service].HedgeLimit()
	return retry.HedgeRule{Ratio: ratio, After: after}
}

// configPeers reads the configuration of other nodes.
type configPeers struct{ *configuration }

// Versions implements config.Peers.
func (p configPeers) Versions(ctx context.Context) []config.PeerVersion {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var (
		mu    sync.Mutex
		found []config.PeerVersion
		wg    sync.WaitGroup
	)
	limit := make(chan struct{}, maxConcurrentQueries)
	for _, m := range p.members.protocol.Table().Members() {
		if m.ID == p.ID {
			continue
		}
		wg.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			if v, ok := p.version(ctx, m); ok {
				mu.Lock()
				found = append(found, config.PeerVersion{Peer: m.ID, Version: v})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return found
}

func (p configPeers) version(ctx context.Context, m member.Member) (config.Version, bool) {
	reply, err := p.transport.Control(ctx, peerOf(m), kindConfigVersion, nil)
	if err != nil {
		return 0, false
	}
	var v config.Version
	return v, json.Unmarshal(reply, &v) == nil
}

// Fetch implements config.Peers.
func (p configPeers) Fetch(ctx context.Context, peer string) (config.Record, error) {
	addr, ok := p.members.peer(peer)
	if !ok {
		return config.Record{}, fault.New(fault.KindUnreachable, "the address of node %s is not known", peer)
	}
	ctx, cancel := context.WithTimeout(ctx, lag.FetchTimeout)
	defer cancel()
	reply, err := p.transport.Control(ctx, addr, kindConfigFetch, nil)
	if err != nil {
		return config.Record{}, err
	}
	return config.DecodeRecord(reply)
}

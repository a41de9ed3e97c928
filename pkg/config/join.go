package config

import (
	"context"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// PeerVersion is the version in force at a peer.
type PeerVersion struct {
	Peer    string
	Version Version
}

// Peers reads the configuration from the other nodes.
type Peers interface {
	// Versions queries all peers and returns the replies of those it reached.
	Versions(ctx context.Context) []PeerVersion
	// Fetch returns the record in force at the peer.
	Fetch(ctx context.Context, peer string) (Record, error)
}

// Ready reports whether Join has succeeded.
func (m *Manager) Ready() bool { return m.ready.Load() }

// Join loads the newest version before the node accepts requests: from the store
// or, while the store is down, from the reachable peers. It can be called again
// after an error.
func (m *Manager) Join(ctx context.Context) error {
	err := m.Poll(ctx)
	if err != nil {
		err = m.joinPeers(ctx, err)
	}
	if err == nil {
		m.ready.Store(true)
	}
	return err
}

func (m *Manager) joinPeers(ctx context.Context, storeErr error) error {
	answers := m.Peers.Versions(ctx)
	if len(answers) == 0 && !m.First {
		return fault.New(fault.KindStoreDown, "neither the store nor a peer reported the newest version: %v", storeErr).
			WithRemedy("retry; on the first node of a new cluster, set first")
	}
	var highest Version
	for _, a := range answers {
		highest = max(highest, a.Version)
	}
	for _, a := range answers {
		if a.Version == highest && m.Version() < highest {
			// On an error, try the next peer with the same version.
			_ = m.Pull(ctx, a.Peer, a.Version)
		}
	}
	if m.Version() < highest {
		return fault.New(fault.KindStoreDown, "version %d was reported by a peer but could not be fetched", highest).
			WithRemedy("retry")
	}
	return nil
}

// Pull fetches the configuration of a peer and puts it in force if the peer
// reported a version v above the one in force here.
func (m *Manager) Pull(ctx context.Context, peer string, v Version) error {
	if v <= m.Version() {
		return nil
	}
	r, err := m.Peers.Fetch(ctx, peer)
	if err != nil {
		return err
	}
	_, err = m.Apply(r)
	return err
}

// Poll looks in the store for a version above the one in force and applies the
// newest. It costs one read if there is none. Versions have no gaps, so the
// newest is found by exponential search followed by binary search.
func (m *Manager) Poll(ctx context.Context) error {
	newest, searchErr := m.newest(ctx)
	if newest.Version == 0 {
		return searchErr
	}
	// Apply the newest version found, even if the search ended with an error.
	if _, err := m.Apply(newest); err != nil {
		return err
	}
	return searchErr
}

func (m *Manager) newest(ctx context.Context) (newest Record, err error) {
	low, step := m.Version(), Version(1)
	for high := Version(0); high == 0 || high-low > 1; {
		probe := low + step
		if high != 0 {
			probe = low + (high-low)/2
		}
		r, err := m.Store.Load(ctx, probe)
		switch {
		case err == nil:
			newest, low, step = r, probe, 2*step
		case fault.Is(err, fault.KindNotFound):
			high = probe
		default:
			return newest, err
		}
	}
	return newest, nil
}

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
func (k *Manager) Ready() bool { return k.ready.Load() }

// Join loads the newest version before the node accepts requests: from the store
// or, while the store is down, from the reachable peers. It can be called again
// after an error.
func (k *Manager) Join(ctx context.Context) error {
	err := k.Poll(ctx)
	if err != nil {
		err = k.joinPeers(ctx, err)
	}
	if err == nil {
		k.ready.Store(true)
	}
	return err
}

func (k *Manager) joinPeers(ctx context.Context, storeErr error) error {
	answers := k.Peers.Versions(ctx)
	if len(answers) == 0 && !k.First {
		return fault.New(fault.KindStoreDown, "neither the store nor a peer reported the newest version: %v", storeErr).
			WithRemedy("retry; on the first node of a new cluster, set first")
	}
	var highest Version
	for _, a := range answers {
		highest = max(highest, a.Version)
	}
	for _, a := range answers {
		if a.Version == highest && k.Version() < highest {
			// On an error, try the next peer with the same version.
			_ = k.Pull(ctx, a.Peer, a.Version)
		}
	}
	if k.Version() < highest {
		return fault.New(fault.KindStoreDown, "version %d was reported by a peer but could not be fetched", highest).
			WithRemedy("retry")
	}
	return nil
}

// Pull fetches the configuration of a peer and puts it in force if the peer
// reported a version v above the one in force here.
func (k *Manager) Pull(ctx context.Context, peer string, v Version) error {
	if v <= k.Version() {
		return nil
	}
	r, err := k.Peers.Fetch(ctx, peer)
	if err != nil {
		return err
	}
	_, err = k.Apply(r)
	return err
}

// Poll looks in the store for a version above the one in force and applies the
// newest. It costs one read if there is none. Versions have no gaps, so the
// newest is found by exponential search followed by binary search.
func (k *Manager) Poll(ctx context.Context) error {
	newest, searchErr := k.newest(ctx)
	if newest.Version == 0 {
		return searchErr
	}
	// Apply the newest version found, even if the search ended with an error.
	if _, err := k.Apply(newest); err != nil {
		return err
	}
	return searchErr
}

func (k *Manager) newest(ctx context.Context) (newest Record, err error) {
	low, step := k.Version(), Version(1)
	for high := Version(0); high == 0 || high-low > 1; {
		probe := low + step
		if high != 0 {
			probe = low + (high-low)/2
		}
		r, err := k.Store.Load(ctx, probe)
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

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

// Peers reaches the other nodes.
type Peers interface {
	// Versions asks all peers and returns the answers of those it reached.
	Versions(ctx context.Context) []PeerVersion
	// Fetch returns the record in force at the peer.
	Fetch(ctx context.Context, peer string) (Record, error)
}

// Ready reports whether Join has succeeded.
func (k *Manager) Ready() bool { return k.ready.Load() }

// Join learns the newest version before the node takes requests: from the
// store, or, while it is down, from all peers that can be reached. It can be
// called again after an error.
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
		return fault.New(fault.KindStoreDown, "neither the store nor a peer named the newest version: %v", storeErr).
			WithRemedy("retry; on the first node of a new cluster, set first")
	}
	var highest Version
	for _, a := range answers {
		highest = max(highest, a.Version)
	}
	for _, a := range answers {
		if a.Version == highest && k.Version() < highest {
			// Another peer that names the same version may still answer.
			_ = k.Pull(ctx, a.Peer, a.Version)
		}
	}
	if k.Version() < highest {
		return fault.New(fault.KindStoreDown, "version %d was named by a peer but could not be fetched", highest).
			WithRemedy("retry")
	}
	return nil
}

// Pull fetches the configuration of a peer that named a higher version.
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

// Poll asks the store for a version above the one in force. Without one it
// costs one read. Versions have no gaps, so the newest is found by doubling
// steps and then halving them.
func (k *Manager) Poll(ctx context.Context) error {
	newest, searchErr := k.newest(ctx)
	if newest.Version == 0 {
		return searchErr
	}
	// A search that was cut short still found a version worth applying.
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

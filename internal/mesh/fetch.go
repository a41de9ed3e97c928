package mesh

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

// fetchIfNewer fetches the configuration of another node in the background if its
// version is newer and no other fetch is running.
func (a *announcer) fetchIfNewer(ctx context.Context, version uint64, from roster.Entry) {
	if version <= a.follower.version() {
		return
	}
	a.follower.seen(version, from.Node)
	if !a.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer a.fetching.Store(false)
		a.fetch(ctx, from)
	}()
}

// fetch fetches the configuration of another node and puts it in force.
func (a *announcer) fetch(ctx context.Context, from roster.Entry) {
	start := time.Now()
	if err := a.fetchFrom(ctx, from); err != nil {
		a.follower.failedFetches.Add(1)
		a.Log.WithError(err).WithField("node", from.Node).WithField("took", time.Since(start)).
			WithField("version", a.follower.version()).WithField("newest", a.follower.lag.Newest()).
			WithField("behind", a.follower.lag.Behind(time.Now())).Warn("configuration of another node not taken")
	}
}

func (a *announcer) fetchFrom(ctx context.Context, from roster.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	v, err := a.requestConfiguration(ctx, from, message{Fetch: true})
	if err != nil {
		return err
	}
	a.follower.apply(v, "node "+from.Node)
	return nil
}

// requestConfiguration sends a message whose answer is a configuration or a patch to it.
func (a *announcer) requestConfiguration(ctx context.Context, from roster.Entry, m message) (Snapshot, error) {
	base, digest := a.follower.patches.base()
	m.Patch = &patchInfo{Base: digest}
	head, err := encode(m)
	if err != nil {
		return Snapshot{}, err
	}
	answer, err := a.call(ctx, from.Addr, head)
	if err != nil {
		if ctx.Err() == nil {
			a.directory.markUnreachable(from.Node, err, time.Now())
		}
		return Snapshot{}, err
	}
	defer answer.Body.Close()
	a.directory.markReachable(from.Node)
	var reply response
	if err := wire.Unmarshal(answer.Head, &reply); err != nil {
		return Snapshot{}, eris.Wrap(err, "reply of another node")
	}
	if reply.Fault != nil {
		return Snapshot{}, reply.Fault
	}
	start := time.Now()
	raw, err := io.ReadAll(io.LimitReader(answer.Body, maxConfiguration))
	if err != nil {
		return Snapshot{}, eris.Wrap(err, "read the configuration of another node")
	}
	read := time.Now()
	transferred := len(raw)
	if p := reply.Patch; p != nil {
		if p.Base != digest {
			base = nil
		}
		if raw, err = wire.Apply(raw, base, maxConfiguration); err != nil {
			return Snapshot{}, eris.Wrap(err, "configuration of another node")
		}
	}
	document, err := a.Registry.Decode(raw)
	return Snapshot{
		Document: document, Raw: raw, Transferred: transferred, Fetch: read.Sub(start), Decode: time.Since(read),
	}, err
}

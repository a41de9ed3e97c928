package mesh

import (
	"cmp"
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/vanillasail/vanillasail/pkg/lag"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

// fetchIfNewer fetches the configuration of another node in the background if its
// version is newer and no other fetch has begun recently.
func (a *announcer) fetchIfNewer(ctx context.Context, version uint64, from roster.Entry) {
	if version <= a.follower.version() {
		return
	}
	a.follower.seen(version, from.Node)
	if !a.fetches.Begin(from.Node, time.Now()) {
		return
	}
	go func() {
		defer a.fetches.End(from.Node)
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
	ctx, cancel := context.WithTimeout(ctx, lag.FetchTimeout)
	defer cancel()
	return a.requestConfiguration(ctx, from, message{Fetch: true})
}

// requestConfiguration sends a message whose answer is a configuration or a patch to it,
// and puts it in force if it is newer.
func (a *announcer) requestConfiguration(ctx context.Context, from roster.Entry, m message) error {
	base, digest := a.follower.patches.base()
	m.Patch = &patchInfo{Base: digest}
	head, err := encode(m)
	if err != nil {
		return err
	}
	answer, err := a.call(ctx, from.Addr, head)
	if err != nil {
		if ctx.Err() == nil {
			a.directory.markUnreachable(from.Node, err, time.Now())
		}
		return err
	}
	defer answer.Body.Close()
	a.directory.markReachable(from.Node)
	var reply response
	if err := wire.Unmarshal(answer.Head, &reply); err != nil {
		return eris.Wrap(err, "reply of another node")
	}
	if reply.Fault != nil {
		return reply.Fault
	}
	if a.follower.has(reply.Version) {
		return nil
	}
	start := time.Now()
	raw, err := io.ReadAll(io.LimitReader(answer.Body, maxConfiguration))
	if err != nil {
		return eris.Wrap(err, "read the configuration of another node")
	}
	if p := reply.Patch; p != nil && p.Base != digest {
		base = nil
	}
	return a.follower.take(received{
		raw: raw, base: base, patch: reply.Patch != nil, version: reply.Version, from: from.Node, fetch: time.Since(start),
	})
}

// received is a configuration as another node has sent it.
type received struct {
	// raw is the document, or a patch to base.
	raw, base []byte
	patch     bool
	// version is zero if the node did not name it.
	version uint64
	from    string
	// fetch is how long it took to read.
	fetch time.Duration
}

// has reports whether a version or a newer one is in force. It does not if the version is
// not known, which is zero.
func (f *follower) has(version uint64) bool { return version != 0 && version <= f.version() }

// take decodes a configuration and puts it in force, unless it came from another node
// meanwhile.
func (f *follower) take(r received) error {
	f.decoding.Lock()
	defer f.decoding.Unlock()
	if f.has(r.version) {
		return nil
	}
	start := time.Now()
	raw := r.raw
	if r.patch {
		var err error
		if raw, err = wire.Apply(r.raw, r.base, maxConfiguration); err != nil {
			return eris.Wrap(err, "configuration of another node")
		}
	}
	document, err := f.Registry.Decode(raw)
	if err != nil {
		// A version that this program rejects is not waited for.
		f.lag.Applied(cmp.Or(r.version, f.lag.Newest()), time.Now())
		return err
	}
	f.apply(Snapshot{Document: document, Raw: raw, Transferred: len(r.raw), Fetch: r.fetch, Decode: time.Since(start)}, "node "+r.from)
	return nil
}

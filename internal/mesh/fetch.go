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
	if version <= a.follower.version() || !a.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer a.fetching.Store(false)
		a.fetch(ctx, from)
	}()
}

// fetch fetches the configuration of another node and puts it in force.
func (a *announcer) fetch(ctx context.Context, from roster.Entry) {
	err := a.fetchFrom(ctx, from)
	if err != nil {
		a.Log.WithError(err).WithField("node", from.Node).Warn("configuration of another node not taken")
	}
}

func (a *announcer) fetchFrom(ctx context.Context, from roster.Entry) error {
	head, err := encode(message{Fetch: true})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	raw, err := a.fetchRaw(ctx, from, head)
	if err != nil {
		return err
	}
	document, err := a.Registry.Decode(raw)
	if err != nil {
		return err
	}
	a.follower.apply(Snapshot{Document: document, Raw: raw}, "node "+from.Node)
	return nil
}

// fetchRaw sends a message whose answer is a configuration.
func (a *announcer) fetchRaw(ctx context.Context, from roster.Entry, head []byte) ([]byte, error) {
	answer, err := a.call(ctx, from.Addr, head)
	if err != nil {
		if ctx.Err() == nil {
			a.directory.markUnreachable(from.Node, err, time.Now())
		}
		return nil, err
	}
	defer answer.Body.Close()
	a.directory.markReachable(from.Node)
	var reply response
	if err := wire.Unmarshal(answer.Head, &reply); err != nil {
		return nil, eris.Wrap(err, "reply of another node")
	}
	if reply.Fault != nil {
		return nil, reply.Fault
	}
	raw, err := io.ReadAll(io.LimitReader(answer.Body, maxConfiguration))
	return raw, eris.Wrap(err, "read the configuration of another node")
}

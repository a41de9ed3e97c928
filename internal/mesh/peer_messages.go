package mesh

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/internal/peer"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// answer handles a message of another node.
func (n *Node) answer(ctx context.Context, in peer.Incoming) peer.Reply {
	n.directory.messageReceived(string(in.From), time.Now())
	m, err := decodeMessage(in.Head)
	if err != nil {
		return n.reply(response{Fault: fault.As(err)}, nil)
	}
	switch {
	case m.Update != nil:
		return n.reply(n.updated(*m.Update), nil)
	case m.Entries != nil:
		n.announcer.receiveEntries(m.Entries)
		if from, ok := n.directory.entry(string(in.From)); ok {
			n.versionSeen(m.Version, from)
		}
		return n.reply(response{}, nil)
	case m.Fetch:
		return n.configuration(nil, m.Patch)
	case m.Follow != nil:
		// A relay whose registry keeps silent learns of a version from its followers.
		if from, ok := n.directory.entry(string(in.From)); ok {
			n.versionSeen(*m.Follow, from)
		}
		return n.configuration(n.follower.relay(ctx, n.stopping.Load, *m.Follow), m.Patch)
	case m.Crash != nil:
		return n.reply(response{Fault: n.serverProxy.crash.receive(string(in.From), *m.Crash)}, nil)
	case m.Crashes != nil:
		return n.reply(response{Fault: n.serverProxy.crash.receive(string(in.From), m.Crashes...)}, nil)
	case m.AskCrashes:
		return n.reply(n.knownCrashes(), nil)
	case m.Call == nil && m.Reserve == nil:
		return n.reply(response{Fault: fault.New(fault.KindBadRequest, "message of a peer contains no request")}, nil)
	}
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if from, ok := n.directory.entry(string(in.From)); ok {
		n.versionSeen(m.Version, from)
	}
	var result sendResult
	if m.Reserve != nil {
		result = n.serverProxy.reserve(ctx, *m.Reserve)
	} else {
		r := *m.Call
		r.Body = in.Body
		result = n.serverProxy.serve(ctx, r, m.Ticket)
	}
	head := response{Fault: result.err, Ran: result.ran, CallFailed: result.calls.Failed, CallMayHaveFailed: result.calls.MayHaveFailed, Calls: result.calls.Calls, Load: &result.load, Version: n.follower.version(), Ticket: result.ticket}
	if n.directory.summaryDue(string(in.From), time.Now()) {
		head.SlotSummary = n.serverProxy.summary()
	}
	if result.answer == nil {
		reply := n.reply(head, nil)
		if result.hold != nil {
			reply.Rest = result.hold
		}
		return reply
	}
	head.Status, head.Header, head.Length = result.answer.Status, result.answer.Header, result.answer.Length
	reply := n.reply(head, result.answer.Buffered)
	if result.answer.Body != nil {
		reply.Rest = result.answer.Body
	}
	return reply
}

// updated processes the update of another node and returns the reply.
func (n *Node) updated(u nodeUpdate) response {
	left := n.directory.leftOf(u.Entry.Node)
	n.announcer.receive(n.runCtx, u)
	reply := response{Update: n.announcer.updateReply(u)}
	if !u.Entry.Leaving {
		reply.Update.Left = left
	}
	if n.serverProxy.crash.unknown.Load() && u.Entry.Service == n.backend().Service {
		go func() {
			if n.askCrashes(n.runCtx, u.Entry) {
				n.crashesKnown()
			}
		}()
	}
	if !n.joined.Load() || n.stopping.Load() {
		return reply
	}
	if u.PassOn {
		n.entryRelay.add(n.runCtx, u.Entry)
		reply.PassedOn = true
	}
	if u.PassOn || len(u.Marks) > 0 {
		reply.Entries, reply.Unknown = n.directory.compare(u.Marks)
	}
	return reply
}

// configuration replies with the configuration in force, as a patch if the other node
// accepts one.
func (n *Node) configuration(err *fault.Error, accepted *patchInfo) peer.Reply {
	if err != nil {
		return n.reply(response{Fault: err}, nil)
	}
	raw, version := n.follower.current()
	if raw == nil || accepted == nil {
		return n.reply(response{Version: version}, raw)
	}
	patch, base, failure := n.follower.patches.from(accepted.Base)
	if failure != nil {
		n.Log.WithError(failure).Error("cannot compress the configuration")
		return n.reply(response{Version: version}, raw)
	}
	return n.reply(response{Patch: &patchInfo{Base: base}, Version: version}, patch)
}

func (n *Node) reply(head response, body []byte) peer.Reply {
	raw, err := encode(head)
	if err != nil {
		n.Log.WithError(err).Error("cannot encode the reply to a peer")
	}
	return peer.Reply{Head: raw, Payload: body}
}

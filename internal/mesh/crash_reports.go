package mesh

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/internal/crash"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

const (
	// maxCrashPeers is how many nodes a starting node asks for the known crashes.
	maxCrashPeers = 3
	// crashAskTimeout bounds the wait for them. Hosts that are gone do not answer.
	crashAskTimeout = 300 * time.Millisecond
	// crashPeerWait is how long they are awaited if the registry has answered. It covers
	// two round trips between regions.
	crashPeerWait = 50 * time.Millisecond
	// crashlessStart is how long after its start a node that can ask nobody lets its
	// server take requests all the same.
	crashlessStart = 2 * time.Second
)

// notifyCrash sends an incident to the nodes that may get the requests in flight next,
// and saves it. It waits for the replies.
func (n *Node) notifyCrash(i quarantine.Incident) {
	head, err := encode(message{Crash: &i})
	if err != nil {
		n.Log.WithError(err).Error("cannot encode the incident")
		return
	}
	var wg sync.WaitGroup
	for _, to := range n.directory.others() {
		if to.Service != n.backend().Service {
			continue
		}
		wg.Go(func() {
			if _, err := n.announcer.request(n.runCtx, to, head); err != nil {
				// It gets all known crashes when it answers a probe.
				n.directory.markUnreachable(to.Node, err, time.Now())
				n.Log.WithError(err).WithField("node", to.Node).Info("cannot notify node of a crash")
			}
		})
	}
	wg.Go(func() { n.saveCrash(i) })
	wg.Wait()
}

// saveCrash saves an incident in the registry.
func (n *Node) saveCrash(i quarantine.Incident) {
	err := crash.Save(n.runCtx, i, func(ctx context.Context, i quarantine.Incident) error {
		return n.Registry.SaveCrash(ctx, n.backend().Service, n.Node(), i)
	})
	if err != nil {
		n.Log.WithError(err).Warn("cannot save a crash in the registry")
	}
}

// restoreCrashes gets the crashes of before the start of this process from the registry
// and some nodes of the service, and reports whether they are known. The server takes
// requests after that.
func (n *Node) restoreCrashes(members []Member) bool {
	saved, peers := make(chan bool, 1), make(chan bool, maxCrashPeers)
	go func() { saved <- n.readCrashes() }()
	asked := 0
	for _, i := range rand.Perm(len(members)) {
		to := members[i].Entry
		if to.Node == n.Node() || to.Service != n.backend().Service || asked == maxCrashPeers {
			continue
		}
		asked++
		go func() {
			ctx, cancel := context.WithTimeout(n.runCtx, crashAskTimeout)
			defer cancel()
			peers <- n.askCrashes(ctx, to)
		}()
	}
	known := awaitCrashes(saved, peers, asked)
	if known {
		n.crashesKnown()
	} else {
		time.AfterFunc(crashlessStart, n.crashesKnown)
	}
	return known
}

// awaitCrashes returns true when a node has answered, or when the registry has and no node
// does so soon. It returns false when neither does.
func awaitCrashes(saved, peers <-chan bool, asked int) bool {
	soon := time.NewTimer(crashPeerWait)
	defer soon.Stop()
	var read, unread, waited bool
	for {
		select {
		case ok := <-saved:
			read, unread = ok, !ok
		case ok := <-peers:
			if ok {
				return true
			}
			asked--
		case <-soon.C:
			waited = true
		}
		if read && (waited || asked == 0) || unread && asked == 0 {
			return read
		}
	}
}

// readCrashes merges the crashes that the registry has, and reports whether it has answered.
func (n *Node) readCrashes() bool {
	list, err := n.Registry.Crashes(n.runCtx, n.backend().Service)
	if err != nil {
		n.Log.WithError(err).Warn("cannot read the saved crashes")
		return false
	}
	n.mergeCrashes("registry", list)
	return true
}

// askCrashes merges the crashes that a node knows, and reports whether it has answered.
func (n *Node) askCrashes(ctx context.Context, to roster.Entry) bool {
	head, err := encode(message{AskCrashes: true})
	if err != nil {
		n.Log.WithError(err).Error("cannot encode a message")
		return false
	}
	reply, err := n.announcer.request(ctx, to, head)
	if err != nil || reply.Fault != nil {
		return false
	}
	n.mergeCrashes(to.Node, reply.Crashes)
	return true
}

// knownCrashes answers askCrashes of another node.
func (n *Node) knownCrashes() response {
	if n.serverProxy.crash.unknown.Load() {
		return response{Fault: fault.New(fault.KindStopped, "node %s does not know the earlier crashes itself", n.Node())}
	}
	return response{Crashes: n.serverProxy.crash.table.Incidents(time.Now(), nil)}
}

func (n *Node) mergeCrashes(from string, list []quarantine.Incident) {
	if err := n.serverProxy.crash.receive(from, list...); err != nil {
		n.Log.WithError(err).Warn("crashes ignored")
	}
}

// crashesKnown lets the server take requests.
func (n *Node) crashesKnown() {
	if n.serverProxy.crash.unknown.CompareAndSwap(true, false) {
		n.serverChanged()
	}
}

// sendCrashes sends the known crashes to a node of the service that may have missed them.
func (n *Node) sendCrashes(to roster.Entry) {
	list := n.serverProxy.crash.table.Incidents(time.Now(), nil)
	if to.Service != n.backend().Service || len(list) == 0 {
		return
	}
	head, err := encode(message{Crashes: list})
	if err == nil {
		_, err = n.announcer.request(n.runCtx, to, head)
	}
	if err != nil {
		n.Log.WithError(err).WithField("node", to.Node).Info("cannot notify node of earlier crashes")
	}
}

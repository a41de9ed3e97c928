package config

import (
	"context"
	"sync/atomic"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// submitAttempts bounds how often Submit tries a write whose outcome is unknown
// before it returns KindWriteUnknown.
const submitAttempts = 3

// Store persists accepted records in the table service, one row per version. Its
// errors have the kinds of package fault.
type Store interface {
	// Create writes the record only if its version has no row yet. Errors:
	// KindConflict, KindStoreDown (nothing was changed), KindWriteUnknown.
	Create(ctx context.Context, r Record) error
	// Load returns the record of a version. Errors: KindNotFound,
	// KindStoreDown.
	Load(ctx context.Context, v Version) (Record, error)
}

// Snapshot is the configuration in force at one node.
type Snapshot struct {
	Record
	Document Document
}

// Manager holds the configuration in force at one node and submits changes. It
// is safe for concurrent use and uses no locks. Set the exported fields before
// the first call.
type Manager struct {
	Store Store
	Peers Peers
	// First lets the node start although neither the store nor a peer
	// answers, as on the first node of a new cluster.
	First bool

	// current is only replaced by a higher version; nil means version 0.
	current atomic.Pointer[Snapshot]
	ready   atomic.Bool
}

// emptySnapshot is version 0. It is shared, because every request reads the
// current snapshot.
var emptySnapshot Snapshot

// Current returns the configuration in force, which callers must not modify. It
// takes no lock and does not allocate.
func (m *Manager) Current() *Snapshot {
	if s := m.current.Load(); s != nil {
		return s
	}
	return &emptySnapshot
}

// Version returns the version in force.
func (m *Manager) Version() Version { return m.Current().Version }

// Apply puts an accepted record in force if its version is higher than the one
// in force, and reports whether it did.
func (m *Manager) Apply(r Record) (bool, error) {
	if r.Version <= m.Version() {
		return false, nil
	}
	d, err := DecodeAccepted([]byte(r.Body))
	if err != nil {
		return false, err
	}
	next := &Snapshot{Record: r, Document: d}
	for {
		old := m.current.Load()
		if old != nil && r.Version <= old.Version {
			return false, nil
		}
		if m.current.CompareAndSwap(old, next) {
			return true, nil
		}
	}
}

// Submit writes the change to the store as version base+1 and puts it in force
// on this node. Errors: KindBadRequest, KindConflict that names the accepted
// change, KindStoreDown (nothing was changed), or KindWriteUnknown, after which
// the same change may be submitted again.
func (m *Manager) Submit(ctx context.Context, c Change) (Record, error) {
	if err := c.check(); err != nil {
		return Record{}, err
	}
	if err := m.checkBase(ctx, c.Base); err != nil {
		return Record{}, err
	}
	if r, done, err := m.Resolve(ctx, c.ID, c.Base); done || err != nil {
		return r, err
	}
	return m.create(ctx, Record{Version: c.Base + 1, Change: c})
}

// Resolve looks up a change that may have been submitted before. It returns the
// record if the change was accepted, a conflict if another change was accepted
// on the same base, and false if the base is the newest version known to this
// node.
func (m *Manager) Resolve(ctx context.Context, id string, base Version) (Record, bool, error) {
	if base >= m.Version() {
		return Record{}, false, nil
	}
	r := Record{Version: base + 1, Change: Change{ID: id}}
	stored, err := m.Load(ctx, r.Version)
	if err != nil {
		return Record{}, false, unknownOutcome(r, err)
	}
	accepted, err := m.compareWithStored(r, stored.Record)
	return accepted, err == nil, err
}

// checkBase rejects a base version that was never accepted. It would leave a gap
// in the versions, and the search of Poll stops at the first gap.
func (m *Manager) checkBase(ctx context.Context, base Version) error {
	if base <= m.Version() {
		return nil
	}
	if err := m.Poll(ctx); err != nil {
		return err
	}
	if base > m.Version() {
		return fault.New(fault.KindBadRequest, "base version %d does not exist; the newest is %d", base, m.Version()).
			WithRemedy("make the change on top of the newest version")
	}
	return nil
}

// create repeats the conditional write until its outcome is known. An absent row
// after a lost reply does not mean that the write failed, because it may still
// be in flight. A conflict does not mean so either until the row has been read:
// it may hold this change, written by an earlier attempt or through another node.
func (m *Manager) create(ctx context.Context, r Record) (Record, error) {
	unknown := false
	var err error
	for range submitAttempts {
		err = m.Store.Create(ctx, r)
		switch {
		case err == nil:
			_, err = m.Apply(r)
			return r, err
		case fault.Is(err, fault.KindConflict), fault.Is(err, fault.KindWriteUnknown):
			unknown = true
			if stored, loadErr := m.Store.Load(ctx, r.Version); loadErr == nil {
				return m.compareWithStored(r, stored)
			}
		case !unknown:
			return Record{}, err
		}
	}
	return Record{}, unknownOutcome(r, err)
}

// compareWithStored returns the stored record if it is the same change, or a
// conflict if the version holds another one. The stored record is put in force
// in both cases.
func (m *Manager) compareWithStored(r, stored Record) (Record, error) {
	if _, err := m.Apply(stored); err != nil {
		return Record{}, err
	}
	if stored.ID == r.ID {
		return stored, nil
	}
	return Record{}, fault.New(fault.KindConflict, "version %d was already made by %s: %q", stored.Version, stored.Author, stored.Reason).
		WithRemedy("nothing of this change was applied; rebase: look at the winner with diff and make the change on the newest version")
}

func unknownOutcome(r Record, err error) error {
	return fault.New(fault.KindWriteUnknown, "change %s may have been accepted as version %d, or may still be accepted: %v", r.ID, r.Version, err).
		WithRemedy("submit the same change ID with the same base again, or look at that version when the store is back")
}

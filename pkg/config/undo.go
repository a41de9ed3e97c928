package config

import (
	"context"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Load returns an accepted version with its document. Version 0 is the empty
// document.
func (m *Manager) Load(ctx context.Context, v Version) (*Snapshot, error) {
	if v == 0 {
		return &emptySnapshot, nil
	}
	if s := m.Current(); s.Version == v {
		return s, nil
	}
	r, err := m.Store.Load(ctx, v)
	if fault.Is(err, fault.KindNotFound) {
		return nil, fault.New(fault.KindNotFound, "version %d does not exist", v).WithRemedy("list the versions with show versions")
	}
	if err != nil {
		return nil, err
	}
	d, err := DecodeAccepted([]byte(r.Body))
	return &Snapshot{Record: r, Document: d}, err
}

// History returns up to n versions, the one in force first.
func (m *Manager) History(ctx context.Context, n int) ([]Record, error) {
	var records []Record
	for v := m.Version(); v > 0 && len(records) < n; v-- {
		s, err := m.Load(ctx, v)
		if err != nil {
			return nil, err
		}
		records = append(records, s.Record)
	}
	return records, nil
}

// Reverted returns the document of version base with the changes of version v
// reverted and all later changes kept. To undo version v, submit the result on
// that base. It returns a conflict if a later version changed one of the fields
// again. The caller gives the base because this node may lag behind it.
func (m *Manager) Reverted(ctx context.Context, base, v Version) (Document, error) {
	if v == 0 || v > base {
		return Document{}, fault.New(fault.KindBadRequest, "version %d is not a change below version %d", v, base+1).
			WithRemedy("list the versions with show versions")
	}
	var documents [3]Document
	for i, load := range [...]Version{v - 1, v, base} {
		s, err := m.Load(ctx, load)
		if err != nil {
			return Document{}, err
		}
		documents[i] = s.Document
	}
	return documents[2].revert(Diff(documents[0], documents[1]))
}

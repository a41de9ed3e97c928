package config

import (
	"context"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Load returns an accepted version with its document. Version 0 is empty.
func (k *Keeper) Load(ctx context.Context, v Version) (*Snapshot, error) {
	if v == 0 {
		return &none, nil
	}
	if s := k.Current(); s.Version == v {
		return s, nil
	}
	r, err := k.Store.Load(ctx, v)
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
func (k *Keeper) History(ctx context.Context, n int) ([]Record, error) {
	var records []Record
	for v := k.Version(); v > 0 && len(records) < n; v-- {
		s, err := k.Load(ctx, v)
		if err != nil {
			return nil, err
		}
		records = append(records, s.Record)
	}
	return records, nil
}

// Reverted returns the document in force with the changes of version v taken
// back and all others kept. To undo, submit it as a new version. A field that a
// later version changed again is a conflict.
func (k *Keeper) Reverted(ctx context.Context, v Version) (Document, error) {
	if v == 0 || v > k.Version() {
		return Document{}, fault.New(fault.KindBadRequest, "version %d cannot be undone; the newest is %d", v, k.Version()).
			WithRemedy("list the versions with show versions")
	}
	current := k.Current()
	after, err := k.Load(ctx, v)
	if err != nil {
		return Document{}, err
	}
	before, err := k.Load(ctx, v-1)
	if err != nil {
		return Document{}, err
	}
	return current.Document.revert(Diff(before.Document, after.Document))
}

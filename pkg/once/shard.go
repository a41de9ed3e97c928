package once

// Shard is one partition of the keys of a service, with the owner and the
// backup that replicate its records. It is immutable; the With methods return
// changed copies with the next epoch.
type Shard struct {
	Service string `msgpack:"s"`
	Index   int    `msgpack:"x"`
	// Epoch is at least 1 and is incremented with every change of the pair. Each
	// epoch has exactly one owner.
	Epoch uint64 `msgpack:"e"`
	Owner Ref    `msgpack:"o"`
	// Backup is zero while the owner has the only copy of the records. It never
	// equals Owner.
	Backup Ref `msgpack:"b"`
	// LossEpoch is the latest epoch that started without the records of its
	// predecessor, or zero if there is none.
	LossEpoch uint64 `msgpack:"l,omitempty"`
	// ResetID identifies the latest reset by an operator, so that a repeated one is
	// recognized. It is zero if there was none.
	ResetID uint64 `msgpack:"r,omitempty"`
}

// Has reports whether r is the owner or the backup.
func (s Shard) Has(r Ref) bool { return s.Owner == r || s.Backup == r }

// WithBackup returns the next epoch with the given backup.
func (s Shard) WithBackup(backup Ref) Shard {
	s.Epoch++
	s.Backup = backup
	return s
}

// WithPromotion returns the next epoch, with the current backup as the owner
// and the given process as its backup.
func (s Shard) WithPromotion(backup Ref) Shard {
	s.Epoch++
	s.Owner, s.Backup = s.Backup, backup
	return s
}

// WithLoss returns the next epoch with a new pair that has no records of the
// previous epochs.
func (s Shard) WithLoss(owner, backup Ref) Shard {
	s.Epoch++
	s.Owner, s.Backup, s.LossEpoch = owner, backup, s.Epoch
	return s
}

// WithResetID returns a copy of a shard that an operator has reset.
func (s Shard) WithResetID(id uint64) Shard {
	s.ResetID = id
	return s
}

func (s Shard) id() shardID { return shardID{s.Service, s.Index} }

type shardID struct {
	service string
	index   int
}

package once

// Shard is one part of the keys of a service and the pair that holds its
// records. It is immutable; With methods return changed copies of the next
// epoch.
type Shard struct {
	Service string `msgpack:"s"`
	Index   int    `msgpack:"x"`
	// Epoch is at least 1 and grows by one with every change of the pair. An
	// epoch has exactly one owner.
	Epoch uint64 `msgpack:"e"`
	Owner Ref    `msgpack:"o"`
	// Backup is zero when the owner holds the records alone. It never equals
	// Owner.
	Backup Ref `msgpack:"b"`
	// LossEpoch is the last epoch that began without the records of the epoch
	// before it; zero when none did.
	LossEpoch uint64 `msgpack:"l,omitempty"`
}

// Has reports whether the process is a member of the pair.
func (s Shard) Has(r Ref) bool { return s.Owner == r || s.Backup == r }

// WithBackup returns the next epoch with another backup.
func (s Shard) WithBackup(backup Ref) Shard {
	s.Epoch++
	s.Backup = backup
	return s
}

// WithPromotion returns the next epoch, in which the backup is the owner.
func (s Shard) WithPromotion(backup Ref) Shard {
	s.Epoch++
	s.Owner, s.Backup = s.Backup, backup
	return s
}

// WithLoss returns the next epoch with a new pair that has no records of the
// epochs before.
func (s Shard) WithLoss(owner, backup Ref) Shard {
	s.Epoch++
	s.Owner, s.Backup, s.LossEpoch = owner, backup, s.Epoch
	return s
}

func (s Shard) id() shardID { return shardID{s.Service, s.Index} }

type shardID struct {
	service string
	index   int
}

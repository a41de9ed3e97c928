package once

// Repair returns the next epoch of a shard that the process may write, if its
// pair has lost a member. The write must be conditional on the row that m was
// read from. holds says whether the process holds every record of the shard's
// epoch (Keeper.Shard).
func Repair(self Ref, m Map, index int, holds bool, v View) (Shard, bool) {
	s := m.Shards[index]
	switch self {
	case s.Owner:
		return m.replaceBackup(s, v)
	case s.Backup:
		return m.promote(s, holds, v)
	default:
		return m.takeLost(s, v)
	}
}

// promote makes the backup the owner. A backup that lacks records takes the
// shard only from an owner whose process is gone: one that is merely
// unreachable may return with the records.
func (m Map) promote(s Shard, holds bool, v View) (Shard, bool) {
	next := m.pickBackup(s, s.Backup, v)
	switch status := v.Status(s.Owner); {
	case status >= Dead && holds:
		return s.WithPromotion(next), true
	case status == Replaced:
		return s.WithLoss(s.Backup, next), true
	default:
		return s, false
	}
}

func (m Map) replaceBackup(s Shard, v View) (Shard, bool) {
	if !s.Backup.IsZero() && v.Status(s.Backup) == Alive {
		return s, false
	}
	backup := m.pickBackup(s, s.Owner, v)
	if backup == s.Backup {
		return s, false
	}
	return s.WithBackup(backup), true
}

// takeLost replaces a pair of which no process exists any more. A member that
// is only dead may still run requests together with the other one.
func (m Map) takeLost(s Shard, v View) (Shard, bool) {
	if v.Status(s.Owner) != Replaced || !s.Backup.IsZero() && v.Status(s.Backup) != Replaced {
		return s, false
	}
	return m.Reset(s.Index, v)
}

// Reset returns the next epoch of a shard with a new pair and without records.
// It needs an operator's word that no process of the old pair is left: old
// members that are only partitioned would go on to run keys. It returns false
// without a member that could own the shard.
func (m Map) Reset(index int, v View) (Shard, bool) {
	s, members := m.Shards[index], v.Members()
	owner := pick(s, members, m.count(ownerOf), rank(anyMember).without(s.Owner, s.Backup))
	if owner.IsZero() {
		return s, false
	}
	backup := pick(s, members, m.count(backupOf), apartFrom(owner).without(s.Owner, s.Backup))
	return s.WithLoss(owner.Ref, backup.Ref), true
}

// HandOver returns the next epoch of a shard whose owner is about to stop; the
// backup becomes the owner. The owner may write it once the backup holds every
// record (Keeper.Synced).
func (m Map) HandOver(index int, v View) (Shard, bool) {
	s := m.Shards[index]
	if s.Backup.IsZero() || v.Status(s.Backup) >= Dead {
		return s, false
	}
	return s.WithPromotion(m.pickBackup(s, s.Backup, v)), true
}

// pickBackup chooses a backup for an owner; members of the pair are excluded.
func (m Map) pickBackup(s Shard, owner Ref, v View) Ref {
	members, at := v.Members(), Member{Ref: owner}
	for _, c := range members {
		if c.Ref == owner {
			at = c
		}
	}
	return pick(s, members, m.count(backupOf), apartFrom(at).without(s.Owner, s.Backup)).Ref
}

// Rebalance returns the next step that moves a shard from an owner with more
// than its even share to a member with less, or that moves the backup out of
// the owner's failure domain. The owner may write it once the backup holds
// every record or when it has none.
func (m Map) Rebalance(index int, v View) (Shard, bool) {
	s, members := m.Shards[index], v.Members()
	if len(members) < 2 {
		return s, false
	}
	owned := m.count(ownerOf)
	share := (Shards + len(members) - 1) / len(members)
	if owned[s.Owner] > share {
		if !s.Backup.IsZero() && owned[s.Backup] < share {
			return s.WithPromotion(s.Owner), true
		}
		below := func(c Member) int { return min(0, share-1-owned[c.Ref]) }
		if next := pick(s, members, owned, rank(below).without(s.Owner, s.Backup)); !next.IsZero() {
			return s.WithBackup(next.Ref), true
		}
	}
	return m.improveBackup(s, members, v)
}

func (m Map) improveBackup(s Shard, members []Member, v View) (Shard, bool) {
	var owner, backup Member
	for _, c := range members {
		switch c.Ref {
		case s.Owner:
			owner = c
		case s.Backup:
			backup = c
		}
	}
	if owner.IsZero() || backup.IsZero() {
		return s, false
	}
	next := m.pickBackup(s, s.Owner, v)
	for _, c := range members {
		if c.Ref == next && apartFrom(owner)(c) > apartFrom(owner)(backup) {
			return s.WithBackup(next), true
		}
	}
	return s, false
}

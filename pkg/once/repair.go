package once

// Repair returns the next epoch that process self may write for a shard whose
// pair has lost a member, and false when there is nothing to write. The write
// must be conditional on the row that m was read from. complete tells whether
// self has every record of the shard's epoch (see RecordStore.Shard).
func Repair(self Ref, m Map, index int, complete bool, v View) (Shard, bool) {
	s := m.Shards[index]
	switch self {
	case s.Owner:
		return m.replaceBackup(s, v)
	case s.Backup:
		return m.promote(s, complete, v)
	default:
		return m.replaceLostPair(s, v)
	}
}

// promote makes the backup the owner. A backup that lacks records is promoted
// only once the owner's process is known to have ended, because an owner that
// is merely unreachable may return with the records.
func (m Map) promote(s Shard, complete bool, v View) (Shard, bool) {
	next := m.pickBackup(s, s.Backup, v)
	switch status := v.Status(s.Owner); {
	case status >= Dead && complete:
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

// replaceLostPair replaces a pair whose processes have both ended. A process
// that is only Dead may still run requests together with the other one.
func (m Map) replaceLostPair(s Shard, v View) (Shard, bool) {
	if v.Status(s.Owner) != Replaced || !s.Backup.IsZero() && v.Status(s.Backup) != Replaced {
		return s, false
	}
	return m.Reset(s.Index, v)
}

// Reset returns the next epoch of a shard with a new pair and no records, or
// false if no member is eligible as the owner. An operator must have confirmed
// that both processes of the old pair have ended, because members that are only
// partitioned would continue to run requests.
func (m Map) Reset(index int, v View) (Shard, bool) {
	s, members := m.Shards[index], v.Members()
	owner := pick(s, members, m.count(ownerOf), rank(anyMember).excluding(s.Owner, s.Backup))
	if owner.IsZero() {
		return s, false
	}
	backup := pick(s, members, m.count(backupOf), preferOtherDomain(owner).excluding(s.Owner, s.Backup))
	return s.WithLoss(owner.Ref, backup.Ref), true
}

// HandOver returns the next epoch of a shard whose owner is shutting down, with
// the backup as the new owner. The owner may write it once the backup has every
// record (see RecordStore.Synced).
func (m Map) HandOver(index int, v View) (Shard, bool) {
	s := m.Shards[index]
	if s.Backup.IsZero() || v.Status(s.Backup) >= Dead {
		return s, false
	}
	return s.WithPromotion(m.pickBackup(s, s.Backup, v)), true
}

// pickBackup selects a new backup for an owner. The current pair is excluded.
func (m Map) pickBackup(s Shard, owner Ref, v View) Ref {
	members, at := v.Members(), Member{Ref: owner}
	for _, c := range members {
		if c.Ref == owner {
			at = c
		}
	}
	return pick(s, members, m.count(backupOf), preferOtherDomain(at).excluding(s.Owner, s.Backup)).Ref
}

// Rebalance returns the next step that moves a shard from an owner above the
// even share to a member below it, or the backup out of the owner's failure
// domain. The owner may write it once the backup has every record, or when
// there is no backup.
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
		belowShare := func(c Member) int { return min(0, share-1-owned[c.Ref]) }
		if next := pick(s, members, owned, rank(belowShare).excluding(s.Owner, s.Backup)); !next.IsZero() {
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
		if c.Ref == next && preferOtherDomain(owner)(c) > preferOtherDomain(owner)(backup) {
			return s.WithBackup(next), true
		}
	}
	return s, false
}

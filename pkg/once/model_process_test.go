package once

import (
	"fmt"
)

// Status may report Dead for any process, but Replaced only for one that ended.
func (p *process) Status(r Ref) Status {
	for _, other := range p.processes {
		if other.ref.ID == r.ID && other.ref.Incarnation > r.Incarnation {
			return Replaced
		}
	}
	if p.suspects[r] {
		return Dead
	}
	return Alive
}

func (p *process) Members() []Member {
	var members []Member
	for _, other := range p.processes {
		if p.Status(other.ref) == Alive {
			members = append(members, Member{Ref: other.ref, Region: "poa", Domain: other.ref.ID[:1]})
		}
	}
	return members
}

func (p *process) updateShard(s Shard) { p.records.UpdateShard(s, 0, p.now) }

// recordRefusal records a "not run" refusal and checks it against the executions.
func (p *process) recordRefusal(send int, key string, byRecords bool) {
	p.refused[send] = true
	if p.executedSends[send] {
		p.Fatalf("send %d of key %s was refused as not run but has run", send, key)
	}
	s, _ := p.records.Shard(service, 0)
	if r, ran := p.executions[key]; byRecords && ran && s == p.model.row.Shards[0] {
		p.Fatalf("owner %v refused key %s as not run, but send %d has run it", p.ref, key, r.send)
	}
}

func (p *process) begin(send int, key string) {
	record, verdict := p.records.Begin(service, key, 1, p.now)
	p.eventCounts[fmt.Sprint("verdict ", verdict)]++
	switch verdict {
	case VerdictNew:
		p.claim(activeAttempt{send, record})
	case VerdictFinished:
		if r, ran := p.executions[key]; !ran || record.Answer != nil && string(record.Answer) != r.answer {
			p.Fatalf("key %s was answered %q, the first answer is %q", key, record.Answer, r.answer)
		}
	case VerdictNotOwner:
		p.recordRefusal(send, key, false)
	case VerdictFull, VerdictNoBackup:
		p.recordRefusal(send, key, true)
	}
}

func (p *process) claim(w activeAttempt) {
	s, _ := p.records.Shard(service, 0)
	if s.Backup.IsZero() {
		p.acknowledge(w)
		return
	}
	p.pending = append(p.pending, w)
	p.call(s.Backup, func(b *process) func() {
		known, verdict := b.records.Claim(w.record.Claim, b.now)
		return func() { p.claimed(w, known, verdict) }
	})
}

// call sends a message. Duplicates of its reply are ignored.
func (p *process) call(to Ref, handle func(*process) func()) {
	b, done := p.find(to), false
	p.enqueue(b, false, func() {
		reply := handle(b)
		p.enqueue(p, false, func() {
			if !done {
				done = true
				reply()
			}
		})
	})
}

func (p *process) claimed(w activeAttempt, known Shard, verdict Verdict) {
	for i, other := range p.pending {
		if other.send != w.send {
			continue
		}
		p.pending = append(p.pending[:i:i], p.pending[i+1:]...)
		switch verdict {
		case VerdictAccepted:
			p.acknowledge(w)
		case VerdictUnknown:
			p.settle(w, OutcomeUnknown, nil)
		default:
			p.updateShard(known)
			p.release(w)
		}
		return
	}
}

func (p *process) acknowledge(w activeAttempt) {
	if p.records.Acknowledge(w.record.Claim) {
		p.ready = append(p.ready, w)
		return
	}
	p.release(w)
}

func (p *process) release(w activeAttempt) {
	p.settle(w, OutcomeReleased, nil)
	p.recordRefusal(w.send, w.record.Key, false)
}

func (p *process) settle(w activeAttempt, o Outcome, answer []byte) {
	s := Settlement{Claim: w.record.Claim, Outcome: o, Answer: answer}
	p.records.Settle(s, p.now)
	shard, _ := p.records.Shard(service, 0)
	for _, r := range []Ref{shard.Owner, shard.Backup} {
		if other := p.find(r); other != nil && other != p {
			p.enqueue(other, false, func() { other.records.Settle(s, other.now) })
		}
	}
}

// execute runs an acknowledged attempt or releases it without running it.
func (p *process) execute() {
	w, ok := takeRandom(p.model, &p.ready)
	if !ok {
		return
	}
	if p.chance(15) {
		p.release(w)
		return
	}
	if r, executed := p.executions[w.record.Key]; executed {
		p.Fatalf("key %s ran twice: send %d, then send %d at %v", w.record.Key, r.send, w.send, p.ref)
	}
	if p.refused[w.send] {
		p.Fatalf("send %d of key %s runs after it was refused as not run", w.send, w.record.Key)
	}
	p.executions[w.record.Key] = execution{w.send, fmt.Sprintf("answer %d", w.send)}
	p.executedSends[w.send] = true
	p.eventCounts["run"]++
	p.executed = append(p.executed, w)
}

func (p *process) finish() {
	if w, ok := takeRandom(p.model, &p.executed); ok {
		if p.chance(20) {
			p.settle(w, OutcomeUnknown, nil)
			return
		}
		p.settle(w, OutcomeFinished, []byte(p.executions[w.record.Key].answer))
	}
}

func (p *process) refresh() {
	if p.tableDown {
		return
	}
	p.row, p.version = p.model.row, p.model.version
	p.updateShard(p.row.Shards[0])
}

// write performs a conditional write that may take effect late or not at all,
// and whose reply may be lost.
func (p *process) write(next Shard) {
	version, row := p.version, p.row.With(next)
	apply := func() bool {
		if p.tableDown || version != p.model.version {
			return false
		}
		p.model.row, p.model.version = row, version+1
		p.eventCounts[fmt.Sprintf("write loss=%t", next.LossEpoch == next.Epoch)]++
		return true
	}
	switch {
	case p.chance(20):
		p.enqueue(nil, false, func() { apply() })
	case apply() && !p.chance(20):
		p.refresh()
	}
}

// repair writes the next change of the pair, half of the time after reading the
// latest row.
func (p *process) repair() {
	if _, ok := p.nextChange(); ok && p.chance(50) {
		p.refresh()
	}
	if next, ok := p.nextChange(); ok {
		p.write(next)
	}
}

func (p *process) nextChange() (Shard, bool) {
	if len(p.row.Shards) == 0 {
		return Shard{}, false
	}
	s, complete := p.records.Shard(service, 0)
	if next, ok := Repair(p.ref, p.row, 0, complete && s == p.row.Shards[0], p); ok {
		return next, true
	}
	if p.records.Synced(p.row.Shards[0]) && p.chance(5) {
		return p.row.HandOver(0, p)
	}
	return Shard{}, false
}

// sendChunk sends the next chunk of records to the backup of each unsynced shard.
func (p *process) sendChunk() {
	for _, s := range p.records.Unsynced() {
		if p.transfer == nil || p.transfer.shard != s || p.chance(10) {
			p.transfer = p.records.Transfer(s)
		}
		t := p.transfer
		chunk, ok := t.Next(300, p.now)
		if !ok {
			continue
		}
		p.call(s.Backup, func(b *process) func() {
			_, verdict := b.records.Import(chunk, b.now)
			return func() {
				if verdict != VerdictAccepted {
					p.transfer = nil
				} else if t == p.transfer && chunk.Last {
					t.Finish()
				}
			}
		})
	}
}

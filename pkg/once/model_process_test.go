package once

import (
	"fmt"
)

// Status is never wrong about Gone and arbitrarily wrong about Dead.
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

func (p *process) adopt(s Shard) { p.keeper.UpdateShard(s, 0, p.now) }

// refuse records a refusal "not run" and checks it against the journal.
func (p *process) refuse(send int, key string, byRecords bool) {
	p.refused[send] = true
	if p.ranBy[send] {
		p.Fatalf("send %d of key %s was refused as not run but has run", send, key)
	}
	s, _ := p.keeper.Shard(service, 0)
	if r, ran := p.journal[key]; byRecords && ran && s == p.model.row.Shards[0] {
		p.Fatalf("owner %v refused key %s as not run, but send %d has run it", p.ref, key, r.send)
	}
}

func (p *process) begin(send int, key string) {
	record, verdict := p.keeper.Begin(service, key, 1, p.now)
	p.seen[fmt.Sprint("verdict ", verdict)]++
	switch verdict {
	case VerdictNew:
		p.claim(work{send, record})
	case VerdictFinished:
		if r, ran := p.journal[key]; !ran || record.Answer != nil && string(record.Answer) != r.answer {
			p.Fatalf("key %s was answered %q, the first answer is %q", key, record.Answer, r.answer)
		}
	case VerdictNotOwner:
		p.refuse(send, key, false)
	case VerdictFull, VerdictNoBackup:
		p.refuse(send, key, true)
	}
}

func (p *process) claim(w work) {
	s, _ := p.keeper.Shard(service, 0)
	if s.Backup.IsZero() {
		p.acknowledge(w)
		return
	}
	p.pending = append(p.pending, w)
	p.call(s.Backup, func(b *process) func() {
		known, verdict := b.keeper.Claim(w.record.Claim, b.now)
		return func() { p.claimed(w, known, verdict) }
	})
}

// call sends a message whose reply is handled once however often it arrives.
func (p *process) call(to Ref, handle func(*process) func()) {
	b, done := p.find(to), false
	p.post(b, false, func() {
		reply := handle(b)
		p.post(p, false, func() {
			if !done {
				done = true
				reply()
			}
		})
	})
}

func (p *process) claimed(w work, known Shard, verdict Verdict) {
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
			p.adopt(known)
			p.release(w)
		}
		return
	}
}

func (p *process) acknowledge(w work) {
	if p.keeper.Acknowledge(w.record.Claim) {
		p.ready = append(p.ready, w)
		return
	}
	p.release(w)
}

func (p *process) release(w work) {
	p.settle(w, OutcomeReleased, nil)
	p.refuse(w.send, w.record.Key, false)
}

func (p *process) settle(w work, o Outcome, answer []byte) {
	s := Settlement{Claim: w.record.Claim, Outcome: o, Answer: answer}
	p.keeper.Settle(s, p.now)
	shard, _ := p.keeper.Shard(service, 0)
	for _, r := range []Ref{shard.Owner, shard.Backup} {
		if other := p.find(r); other != nil && other != p {
			p.post(other, false, func() { other.keeper.Settle(s, other.now) })
		}
	}
}

// execute runs an acknowledged attempt, or ends it as provably not run.
func (p *process) execute() {
	w, ok := take(p.model, &p.ready)
	if !ok {
		return
	}
	if p.chance(15) {
		p.release(w)
		return
	}
	if r, ran := p.journal[w.record.Key]; ran {
		p.Fatalf("key %s ran twice: send %d, then send %d at %v", w.record.Key, r.send, w.send, p.ref)
	}
	if p.refused[w.send] {
		p.Fatalf("send %d of key %s runs after it was refused as not run", w.send, w.record.Key)
	}
	p.journal[w.record.Key] = run{w.send, fmt.Sprintf("answer %d", w.send)}
	p.ranBy[w.send] = true
	p.seen["run"]++
	p.ran = append(p.ran, w)
}

func (p *process) finish() {
	if w, ok := take(p.model, &p.ran); ok {
		if p.chance(20) {
			p.settle(w, OutcomeUnknown, nil)
			return
		}
		p.settle(w, OutcomeFinished, []byte(p.journal[w.record.Key].answer))
	}
}

func (p *process) refresh() {
	if p.down {
		return
	}
	p.row, p.version = p.model.row, p.model.version
	p.adopt(p.row.Shards[0])
}

// write is a conditional write whose reply, or whose effect, may be late or
// lost.
func (p *process) write(next Shard) {
	version, row := p.version, p.row.With(next)
	apply := func() bool {
		if p.down || version != p.model.version {
			return false
		}
		p.model.row, p.model.version = row, version+1
		p.seen[fmt.Sprintf("write loss=%t", next.LossEpoch == next.Epoch)]++
		return true
	}
	switch {
	case p.chance(20):
		p.post(nil, false, func() { apply() })
	case apply() && !p.chance(20):
		p.refresh()
	}
}

// repair writes the change of the pair that the process sees fit, half of the
// time after a look at the newest row.
func (p *process) repair() {
	if _, ok := p.change(); ok && p.chance(50) {
		p.refresh()
	}
	if next, ok := p.change(); ok {
		p.write(next)
	}
}

func (p *process) change() (Shard, bool) {
	if len(p.row.Shards) == 0 {
		return Shard{}, false
	}
	s, holds := p.keeper.Shard(service, 0)
	if next, ok := Repair(p.ref, p.row, 0, holds && s == p.row.Shards[0], p); ok {
		return next, true
	}
	if p.keeper.Synced(p.row.Shards[0]) && p.chance(5) {
		return p.row.HandOver(0, p)
	}
	return Shard{}, false
}

// copyRecords sends the next chunk of a transfer.
func (p *process) copyRecords() {
	for _, s := range p.keeper.Unsynced() {
		if p.transfer == nil || p.transfer.shard != s || p.chance(10) {
			p.transfer = p.keeper.Transfer(s)
		}
		t := p.transfer
		chunk, ok := t.Next(300, p.now)
		if !ok {
			continue
		}
		p.call(s.Backup, func(b *process) func() {
			_, verdict := b.keeper.Import(chunk, b.now)
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

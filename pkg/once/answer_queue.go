package once

// answerQueue bounds the memory of stored answers by evicting the oldest first.
type answerQueue struct {
	// records is ordered from the oldest to the newest answer. It may contain
	// records whose answer was dropped.
	records []*record
	// dropped is the number of entries in records that have no answer any more.
	dropped int
	bytes   int
}

func (q *answerQueue) add(r *record, answer []byte, limit int) {
	if len(answer) == 0 || len(answer) > limit {
		return
	}
	for q.bytes+len(answer) > limit {
		oldest := q.records[0]
		q.records[0] = nil
		q.records = q.records[1:]
		if oldest.answer == nil {
			q.dropped--
			continue
		}
		q.bytes -= len(oldest.answer)
		oldest.answer = nil
	}
	r.answer = answer
	q.bytes += len(answer)
	q.records = append(q.records, r)
}

func (q *answerQueue) drop(r *record) {
	if r.answer == nil {
		return
	}
	q.bytes -= len(r.answer)
	r.answer = nil
	q.dropped++
	if q.dropped > 64 && q.dropped > len(q.records)/2 {
		q.compact()
	}
}

func (q *answerQueue) compact() {
	kept := make([]*record, 0, len(q.records)-q.dropped)
	for _, r := range q.records {
		if r.answer != nil {
			kept = append(kept, r)
		}
	}
	q.records, q.dropped = kept, 0
}

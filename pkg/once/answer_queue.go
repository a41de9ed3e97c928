package once

// answerQueue holds the records with kept answers, oldest first.
type answerQueue struct {
	// records may hold records whose answer was dropped; drop counts them.
	records []*record
	// dead is the number of entries of records without an answer.
	dead  int
	bytes int
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
			q.dead--
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
	q.dead++
	if q.dead > 64 && q.dead > len(q.records)/2 {
		q.compact()
	}
}

func (q *answerQueue) compact() {
	kept := make([]*record, 0, len(q.records)-q.dead)
	for _, r := range q.records {
		if r.answer != nil {
			kept = append(kept, r)
		}
	}
	q.records, q.dead = kept, 0
}

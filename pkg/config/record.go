package config

import (
	"encoding/json"
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Version is the number of an accepted configuration. Version 0 is the empty
// document; accepted versions have no gaps.
type Version uint64

// Change is a configuration that an operator submits.
type Change struct {
	// ID makes retries idempotent: a change that is submitted again with the
	// same ID and base is accepted at most once.
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"` // informational; versions are not ordered by it
	Reason string    `json:"reason"`
	// Base is the version that the change was made on.
	Base Version `json:"base"`
	// Body is the whole document as YAML.
	Body string `json:"body"`
}

// Record is an accepted change.
type Record struct {
	Version Version `json:"version"`
	Change
}

// Encode returns the JSON form in which the record is stored and sent to nodes.
func (r Record) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fault.New(fault.KindInternal, "encode version %d: %v", r.Version, err)
	}
	return b, nil
}

// DecodeRecord decodes a record. Unknown fields are ignored, so that nodes of
// different releases can run side by side during an upgrade.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, fault.New(fault.KindInternal, "decode configuration record: %v", err)
	}
	if r.Version != r.Base+1 || r.ID == "" {
		return Record{}, fault.New(fault.KindInternal, "configuration record %d has base %d and ID %q", r.Version, r.Base, r.ID).
			WithRemedy("restore the row in the table")
	}
	return r, nil
}

func (c Change) check() error {
	for field, value := range map[string]string{"id": c.ID, "author": c.Author, "reason": c.Reason} {
		if value == "" {
			return fault.New(fault.KindBadRequest, "change has no %s", field).WithRemedy("set it; every change records who, when and why")
		}
	}
	_, err := Decode([]byte(c.Body))
	return err
}

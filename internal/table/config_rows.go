package table

import (
	"context"
	"fmt"

	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// ConfigRows stores configuration records in rows with the key config/<version>.
// It implements config.Store.
type ConfigRows struct {
	Client
}

var _ config.Store = ConfigRows{}

// Create implements config.Store.
func (c ConfigRows) Create(ctx context.Context, r config.Record) error {
	value, err := r.Encode()
	if err != nil {
		return err
	}
	_, err = c.Client.Create(ctx, configKey(r.Version), value)
	return err
}

// Load implements config.Store.
func (c ConfigRows) Load(ctx context.Context, v config.Version) (config.Record, error) {
	row, err := c.Get(ctx, configKey(v))
	if err != nil {
		return config.Record{}, err
	}
	r, err := config.DecodeRecord(row.Value)
	if err == nil && r.Version != v {
		err = fault.New(fault.KindInternal, "row %s holds version %d", row.Key, r.Version).WithRemedy("restore the row in the table")
	}
	return r, err
}

// configKey pads the version with zeros, so that the keys sort by version.
func configKey(v config.Version) string { return fmt.Sprintf("config/%020d", v) }

package daemon

import (
	"context"
	"sync"

	"github.com/vanillasail/vanillasail/internal/table"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// memberRows stores member rows in the table service. Each row is written only by its
// own node, so the last write wins.
type memberRows struct {
	table.Client
	// rowKey is the key of this node's row.
	rowKey string

	mu sync.Mutex
	// tag is the version of this node's row that was last read or written. With it a
	// refresh takes one request.
	tag string
}

// List implements gossip.Rows.
func (r *memberRows) List(ctx context.Context, prefix string) (map[string][]byte, error) {
	rows, err := r.Client.List(ctx, prefix)
	values := make(map[string][]byte, len(rows))
	for _, row := range rows {
		values[row.Key] = row.Value
		if row.Key == r.rowKey {
			r.remember(row.Tag)
		}
	}
	return values, err
}

// Put implements gossip.Rows. The row has a different version than expected after a
// lost reply, and does not exist if it was removed while this node was partitioned.
func (r *memberRows) Put(ctx context.Context, key string, value []byte) error {
	r.mu.Lock()
	tag := r.tag
	r.mu.Unlock()
	written, err := r.write(ctx, key, tag, value)
	if fault.Is(err, fault.KindConflict) {
		old, getErr := r.Get(ctx, key)
		if getErr != nil && !fault.Is(getErr, fault.KindNotFound) {
			return getErr
		}
		written, err = r.write(ctx, key, old.Tag, value)
	}
	if err != nil {
		return err
	}
	r.remember(written)
	return nil
}

func (r *memberRows) write(ctx context.Context, key, tag string, value []byte) (string, error) {
	if tag == "" {
		return r.Create(ctx, key, value)
	}
	return r.Swap(ctx, key, tag, value)
}

func (r *memberRows) remember(tag string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tag = tag
}

// Package table is the client of the platform's transactional table service.
package table

import (
	"context"
	"net/http"

	"github.com/vanillasail/vanillasail/internal/store"
)

// Row is one row of the table service. Tag is its entity tag, which changes with each
// write.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Tag   string `json:"etag"`
}

// Client reads and writes rows. It does not retry requests. Errors are of kind
// fault.KindNotFound, KindConflict, KindStoreDown (nothing was changed) or
// KindWriteUnknown: the write may have taken effect, or may still take effect
// later, so the caller must read the row back. If the row is still absent or
// unchanged, this does not prove that the write failed; only a repeated
// conditional write that succeeds or conflicts does.
type Client struct {
	store.Endpoint
}

// Get returns the row.
func (c Client) Get(ctx context.Context, key string) (Row, error) {
	reply, err := c.row(ctx, http.MethodGet, key, nil, nil)
	if err != nil {
		return Row{}, err
	}
	return Row{Key: key, Value: reply.Body, Tag: reply.Header.Get("ETag")}, nil
}

// Create writes the row if it does not exist and returns its tag.
func (c Client) Create(ctx context.Context, key string, value []byte) (string, error) {
	return c.put(ctx, key, http.Header{"If-None-Match": {"*"}}, value)
}

// Swap writes the row if it still has the given tag and returns the new tag.
func (c Client) Swap(ctx context.Context, key, tag string, value []byte) (string, error) {
	return c.put(ctx, key, http.Header{"If-Match": {tag}}, value)
}

// Delete removes the row if it still has the given tag.
func (c Client) Delete(ctx context.Context, key, tag string) error {
	_, err := c.row(ctx, http.MethodDelete, key, http.Header{"If-Match": {tag}}, nil)
	return err
}

// List returns the rows whose keys begin with the prefix, sorted by key.
func (c Client) List(ctx context.Context, prefix string) ([]Row, error) {
	return store.List[Row](ctx, c.Endpoint, "/table", prefix)
}

func (c Client) put(ctx context.Context, key string, header http.Header, value []byte) (string, error) {
	reply, err := c.row(ctx, http.MethodPut, key, header, value)
	if err != nil {
		return "", err
	}
	return reply.Header.Get("ETag"), nil
}

func (c Client) row(ctx context.Context, method, key string, header http.Header, value []byte) (store.Reply, error) {
	if err := store.CheckKey(key); err != nil {
		return store.Reply{}, err
	}
	return c.Do(ctx, store.Request{Method: method, Path: "/table/" + key, Header: header, Body: value})
}

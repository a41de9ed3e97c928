package store

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// List returns the entries at path whose keys begin with the prefix, sorted by key.
func List[T any](ctx context.Context, e Endpoint, path, prefix string) ([]T, error) {
	reply, err := e.Do(ctx, Request{Method: http.MethodGet, Path: path, Query: url.Values{"prefix": {prefix}}})
	if err != nil {
		return nil, err
	}
	var entries []T
	if err := json.Unmarshal(reply.Body, &entries); err != nil {
		return nil, fault.New(fault.KindStoreDown, "list of %s with prefix %q cannot be read: %v", path, prefix, err)
	}
	return entries, nil
}

// Package object is the client of the platform's object store.
package object

import (
	"context"
	"net/http"

	"github.com/vanillasail/vanillasail/internal/store"
)

// Info describes one object without its content. Tag is its entity tag.
type Info struct {
	Key  string `json:"key"`
	Size int64  `json:"size"`
	Tag  string `json:"etag"`
}

// Object is an object with its content type and its content.
type Object struct {
	Info
	Type string
	Body []byte
}

// Client reads and writes objects. A write replaces the complete object, so it can
// be retried after an error of kind fault.KindWriteUnknown.
type Client struct {
	store.Endpoint
}

// Put writes the object and returns its tag.
func (c Client) Put(ctx context.Context, key, contentType string, body []byte) (string, error) {
	reply, err := c.object(ctx, http.MethodPut, key, http.Header{"Content-Type": {contentType}}, body)
	if err != nil {
		return "", err
	}
	return reply.Header.Get("ETag"), nil
}

// Get returns the object with its content.
func (c Client) Get(ctx context.Context, key string) (Object, error) {
	reply, err := c.object(ctx, http.MethodGet, key, nil, nil)
	if err != nil {
		return Object{}, err
	}
	return Object{
		Info: Info{Key: key, Size: int64(len(reply.Body)), Tag: reply.Header.Get("ETag")},
		Type: reply.Header.Get("Content-Type"),
		Body: reply.Body,
	}, nil
}

// List describes the objects whose keys begin with the prefix, sorted by key.
func (c Client) List(ctx context.Context, prefix string) ([]Info, error) {
	return store.List[Info](ctx, c.Endpoint, "/object", prefix)
}

func (c Client) object(ctx context.Context, method, key string, header http.Header, body []byte) (store.Reply, error) {
	if err := store.CheckKey(key); err != nil {
		return store.Reply{}, err
	}
	return c.Do(ctx, store.Request{Method: method, Path: "/object/" + key, Header: header, Body: body})
}

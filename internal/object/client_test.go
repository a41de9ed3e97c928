package object_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/object"
	"github.com/vanillasail/vanillasail/internal/standin/store"
	endpoint "github.com/vanillasail/vanillasail/internal/store"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Guards against an object store outage that is not reported or that also stops the
// table service, and against fault requests to the stand-in that have no effect.
func TestObjectStoreOutage(t *testing.T) {
	s := &store.Server{}
	assert.NilError(t, s.Start("127.0.0.1:0"))
	defer func() { assert.NilError(t, s.Stop(context.Background())) }()
	c := object.Client{Endpoint: endpoint.Endpoint{Base: s.URL()}}
	ctx := t.Context()

	tag, err := c.Put(ctx, "report/7.svg", "image/svg+xml", []byte("<svg/>"))
	assert.NilError(t, err)
	got, err := c.Get(ctx, "report/7.svg")
	assert.NilError(t, err)
	info := object.Info{Key: "report/7.svg", Size: 6, Tag: tag}
	assert.DeepEqual(t, got, object.Object{Info: info, Type: "image/svg+xml", Body: []byte("<svg/>")})
	infos, err := c.List(ctx, "report/")
	assert.NilError(t, err)
	assert.DeepEqual(t, infos, []object.Info{info})

	resp, err := http.Post(s.URL()+"/fault?target=object&down=true", "", nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	_, err = c.Put(ctx, "report/8.svg", "image/svg+xml", nil)
	assert.Assert(t, fault.Is(err, fault.KindStoreDown), "%v", err)
	assert.Assert(t, !s.Table.Fault().Down)

	resp, err = http.Get(s.URL() + "/counts")
	assert.NilError(t, err)
	var counts map[string]store.Counts
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&counts))
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, counts["object"].Faults["down"], 1)
	assert.Equal(t, counts["object"].Operations["put"], 1)
}

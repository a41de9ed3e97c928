package daemon

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/config"
)

// Guards against a long configuration that is broken off and begun again for as long as the
// link of the node that has it is busy.
func TestConfigurationOutlivesBusyLink(t *testing.T) {
	const transfer = 1500 * time.Millisecond
	c := startClusterWith(t, 2, func(n *Node) {
		fetch := n.transport.Controls[kindConfigFetch]
		n.transport.Controls[kindConfigFetch] = func(ctx context.Context, from string, body []byte) ([]byte, error) {
			select {
			case <-time.After(transfer):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			return fetch(ctx, from, body)
		}
	})
	r, err := c.nodes[0].config.Submit(t.Context(), config.Change{
		ID: "a", Author: "ana", Reason: "test", Base: c.nodes[0].config.Version(), Body: "tenants: {geada: {weight: 1}}",
	})
	assert.NilError(t, err)
	assert.NilError(t, c.nodes[1].config.Pull(t.Context(), c.nodes[0].ID, r.Version))
	assert.Equal(t, c.nodes[1].config.Version(), r.Version)
}

package daemon

import (
	"context"
	"time"
)

// crashWatch finds requests that crash backend servers.
type crashWatch struct{}

func (c *crashWatch) check(context.Context, uint64, time.Time) error { return nil }
func (c *crashWatch) begin(uint64)                                   {}
func (c *crashWatch) end(uint64, bool)                               {}
func (c *crashWatch) report(context.Context, string, string)         {}

package operator

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/apex/log"

	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Console runs commands against the components of one node. Config is required; a
// command that needs another component returns an error if that is nil.
type Console struct {
	Config    Config
	Members   Members
	Decisions Decisions
	Shards    Shards
	Reports   Reports
	Objects   Objects
	// Now returns the current time for records and tokens; nil means time.Now.
	Now func() time.Time
	// Log receives one entry per change; nil means the default logger.
	Log log.Interface
}

// Request is one command.
type Request struct {
	// Text is one line. For an apply command, the document follows on further lines.
	Text string
	// ID and Base make retries of a change idempotent. Set both or neither. An
	// "on" clause in the text overrides Base.
	ID   string
	Base *config.Version
}

// execution is the state of one command while it runs.
type execution struct {
	*Console
	Request
	identity Identity
	// document is the text on the lines below an apply command.
	document string
}

// Run executes one command. Its errors have the kinds of package fault.
func (c *Console) Run(ctx context.Context, identity Identity, r Request) (Result, error) {
	cmd, err := parse(r.Text)
	if err != nil {
		return Result{}, err
	}
	if cl := cmd.clauses(); identity.Role != RoleOperator && (cl != nil && !cl.Dry || cmd.Report != nil && !cmd.Report.Unsaved) {
		return Result{}, fault.New(fault.KindForbidden, "%s has the role %q, which may not make changes", identity.Name, identity.Role).
			WithRemedy("use a token with the role operator, or add dry run or unsaved")
	}
	x := &execution{Console: c, Request: r, identity: identity}
	x.Text, x.document = cutDocument(r.Text)
	switch {
	case cmd.Show != nil:
		return x.show(ctx, cmd.Show)
	case cmd.Explain != nil:
		return x.explain(ctx, cmd.Explain)
	case cmd.Diff != nil:
		return x.diff(ctx, cmd.Diff)
	case cmd.Report != nil:
		return x.report(ctx, cmd.Report)
	case cmd.Reset != nil:
		return x.reset(ctx, cmd.Reset)
	case cmd.Undo != nil:
		return x.undo(ctx, cmd.Undo)
	case cmd.Apply != nil:
		return x.apply(ctx, cmd.Apply)
	case cmd.Create != nil:
		return x.create(ctx, cmd.Create)
	case cmd.Set != nil:
		return x.set(ctx, cmd.Set)
	case cmd.Remove != nil:
		return x.remove(ctx, cmd.Remove)
	default:
		return x.drain(ctx, cmd.Drain)
	}
}

// clauses returns the clauses of a command that changes something, or nil for a
// query or a report.
func (c *command) clauses() *clauses {
	switch {
	case c.Create != nil:
		return &c.Create.Clause
	case c.Set != nil:
		return &c.Set.Clause
	case c.Remove != nil:
		return &c.Remove.Clause
	case c.Drain != nil:
		return &c.Drain.Clause
	case c.Undo != nil:
		return &c.Undo.Clause
	case c.Apply != nil:
		return &c.Apply.Clause
	case c.Reset != nil:
		return &c.Reset.Clause
	}
	return nil
}

func (c *Console) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}

func (c *Console) log() log.Interface {
	if c.Log == nil {
		return log.Log
	}
	return c.Log
}

// auditInfo returns the audit data of a change. Only a dry run needs no reason.
func (x *execution) auditInfo(cl clauses) (AuditInfo, error) {
	if cl.Reason == "" && !cl.Dry {
		return AuditInfo{}, fault.New(fault.KindBadRequest, "the change has no reason").WithRemedy(`end the command with because "REASON"`)
	}
	id := x.ID
	if id == "" {
		id = NewChangeID()
	}
	return AuditInfo{ID: id, Author: x.identity.Name, Reason: cl.Reason, Time: x.now().UTC()}, nil
}

// NewChangeID returns a random ID for a change.
func NewChangeID() string { return rand.Text() }

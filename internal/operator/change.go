package operator

import (
	"context"

	"github.com/apex/log"

	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// editFunc returns the new document for a change on top of the base version.
type editFunc func(base *config.Snapshot) (config.Document, error)

// change edits the base document and submits the result as a new version. A dry
// run only returns the differences.
func (x *execution) change(ctx context.Context, cl clauses, edit editFunc) (Result, error) {
	auditInfo, err := x.auditInfo(cl)
	if err != nil {
		return Result{}, err
	}
	base, err := x.base(cl)
	if err != nil {
		return Result{}, err
	}
	if r, done, err := x.Config.Resolve(ctx, auditInfo.ID, base); done || err != nil {
		return accepted(r), err
	}
	before, err := x.Config.Load(ctx, base)
	if err != nil {
		return Result{}, err
	}
	after, err := edit(before)
	if err != nil {
		return Result{}, err
	}
	differences := config.Diff(before.Document, after)
	if len(differences) == 0 {
		var result Result
		result.note("version %d says this already; nothing was changed", base)
		return result, nil
	}
	if cl.Dry {
		result := Result{Tables: []*Table{differenceTable("changes to version "+itoa(base), differences)}}
		result.note("dry run: nothing was changed")
		return result, nil
	}
	return x.submit(ctx, auditInfo, base, after, differences)
}

// base returns the version that the change is based on.
func (x *execution) base(cl clauses) (config.Version, error) {
	switch {
	case cl.Base != nil:
		return config.Version(*cl.Base), nil
	case x.Base != nil:
		return *x.Base, nil
	case x.ID != "":
		return 0, fault.New(fault.KindBadRequest, "change ID %s has no base version", x.ID).
			WithRemedy("send " + HeaderBase + " with " + HeaderID + ", or add on VERSION")
	default:
		return x.Config.Current().Version, nil
	}
}

func (x *execution) submit(ctx context.Context, info AuditInfo, base config.Version, d config.Document, differences []config.Difference) (Result, error) {
	body, err := d.Encode()
	if err != nil {
		return Result{}, err
	}
	r, err := x.Config.Submit(ctx, config.Change{
		ID: info.ID, Author: info.Author, Time: info.Time, Reason: info.Reason, Base: base, Body: string(body),
	})
	x.logChange(info, err, log.Fields{"command": x.Text, "base": base})
	if err != nil {
		return Result{}, err
	}
	result := accepted(r)
	result.Tables = append(result.Tables, differenceTable("changes", differences))
	return result, nil
}

func (x *execution) logChange(info AuditInfo, err error, fields log.Fields) {
	entry := x.log().WithFields(fields).WithFields(log.Fields{"id": info.ID, "author": info.Author, "reason": info.Reason})
	if err != nil {
		entry.WithField("error", fault.As(err).Kind).Warn("change not accepted")
		return
	}
	entry.Info("change accepted")
}

func accepted(r config.Record) Result {
	if r.Version == 0 {
		return Result{}
	}
	t := recordTable("accepted")
	addRecord(t, r)
	return Result{Tables: []*Table{t}}
}

func (x *execution) create(ctx context.Context, c *create) (Result, error) {
	section := map[string]string{"service": "services", "tenant": "tenants", "class": "classes"}[c.Target]
	target := config.Path{section, c.Name}
	return x.change(ctx, c.Clause, func(base *config.Snapshot) (config.Document, error) {
		d := base.Document
		if _, exists := d.Field(target); exists {
			err := fault.New(fault.KindBadRequest, "%s %q exists already", c.Target, c.Name).WithRemedy("change it with set")
			return d, withPosition(x.Text, c.Pos, err)
		}
		d, err := d.WithField(target, map[string]any{})
		if err != nil {
			return d, withPosition(x.Text, c.Pos, err)
		}
		return x.assign(d, target, c.Fields)
	})
}

func (x *execution) set(ctx context.Context, s *set) (Result, error) {
	return x.change(ctx, s.Clause, func(base *config.Snapshot) (config.Document, error) {
		return x.assign(base.Document, nil, s.Fields)
	})
}

// assign sets all fields and then validates the document once, because fields may
// depend on each other. An error marks the first field that is invalid alone.
func (x *execution) assign(d config.Document, prefix config.Path, fields []assignment) (config.Document, error) {
	changes := make([]config.Setting, len(fields))
	for i, f := range fields {
		changes[i] = config.Setting{Path: append(prefix[:len(prefix):len(prefix)], f.Path.Parts...), Value: f.Value.data()}
	}
	next, err := d.WithFields(changes...)
	if err == nil || len(fields) == 0 {
		return next, err
	}
	for i, f := range fields {
		if _, single := d.WithFields(changes[i]); single != nil {
			return d, withPosition(x.Text, f.Path.Pos, single)
		}
	}
	return d, withPosition(x.Text, fields[0].Path.Pos, err)
}

func (x *execution) remove(ctx context.Context, r *remove) (Result, error) {
	return x.change(ctx, r.Clause, func(base *config.Snapshot) (config.Document, error) {
		next, err := base.Document.WithoutField(r.Path.Parts)
		return next, withPosition(x.Text, r.Path.Pos, err)
	})
}

func (x *execution) undo(ctx context.Context, u *undo) (Result, error) {
	return x.change(ctx, u.Clause, func(base *config.Snapshot) (config.Document, error) {
		return x.Config.Reverted(ctx, base.Version, config.Version(u.Version))
	})
}

func (x *execution) drain(ctx context.Context, dr *drain) (Result, error) {
	others, err := x.checkServer(ctx, dr)
	if err != nil {
		return Result{}, err
	}
	target := config.Path{"services", dr.Service, "servers", dr.Server, "drained"}
	result, err := x.change(ctx, dr.Clause, func(base *config.Snapshot) (config.Document, error) {
		d := base.Document
		if _, exists := d.Services[dr.Service]; !exists {
			err := fault.New(fault.KindNotFound, "no service %q", dr.Service).WithRemedy("list the services with show services")
			return d, withPosition(x.Text, dr.Pos, err)
		}
		next, err := d.WithField(target, !dr.Off)
		return next, withPosition(x.Text, dr.Pos, err)
	})
	if err == nil && others == 0 && !dr.Off {
		result.note("warning: this node knows no other server of %s that takes requests", dr.Service)
	}
	return result, err
}

// checkServer returns an error if the server is not a member, and otherwise the
// number of other servers of its service that accept requests. It checks nothing
// if members are not available or the server is put back into service.
func (x *execution) checkServer(ctx context.Context, dr *drain) (others int, err error) {
	if x.Members == nil || dr.Off {
		return 1, nil
	}
	known := false
	drained := x.Config.Current().Document.Services[dr.Service].Servers
	for _, s := range x.Members.Servers(ctx) {
		switch {
		case s.Service != dr.Service:
		case s.ID == dr.Server:
			known = true
		case s.State == StateAlive && !drained[s.ID].Drained:
			others++
		}
	}
	if !known {
		err := fault.New(fault.KindNotFound, "no server %q of service %q", dr.Server, dr.Service).
			WithRemedy("list them with show servers of " + dr.Service)
		return 0, withPosition(x.Text, dr.Pos, err)
	}
	return others, nil
}

// reset is not a configuration change: it makes no version, and its audit data is
// logged.
func (x *execution) reset(ctx context.Context, r *reset) (Result, error) {
	if x.Shards == nil {
		return Result{}, missingComponent("shards")
	}
	auditInfo, err := x.auditInfo(r.Clause)
	if err != nil {
		return Result{}, err
	}
	var result Result
	if r.Clause.Dry {
		result.note("dry run: nothing was changed; every key of shard %d of %s would be answered outcome-unknown for one window", r.Shard, r.Service)
		return result, nil
	}
	err = x.Shards.Reset(ctx, r.Service, int(r.Shard), auditInfo)
	x.logChange(auditInfo, err, log.Fields{"command": x.Text})
	if err != nil {
		return Result{}, err
	}
	result.note("shard %d of %s has a new owner and backup; its keys are answered outcome-unknown for one window", r.Shard, r.Service)
	return result, nil
}

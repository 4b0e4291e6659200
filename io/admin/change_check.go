package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
)

// maxReferences bounds the objects and the limits that one object names, because each costs platform calls.
const maxReferences = 256

// checkChange refuses a change of an object that breaks a rule between objects or between versions of one object.
func (s *Server) checkChange(ctx context.Context, cur store.Object, o object.Value) error {
	c := &refs{ctx: ctx, s: s}
	switch v := o.(type) {
	case *object.Organisation:
		c.organisation(v)
	case *object.Budget:
		c.budget(cur, v)
	case *object.Release:
		c.release(v)
	}
	if c.err != nil {
		return c.err
	}
	if len(c.faults) > 0 {
		return invalid(c.faults)
	}
	return nil
}

// refs collects the faults of the references of one object. A platform error ends the check.
type refs struct {
	ctx    context.Context
	s      *Server
	faults object.Faults
	err    error
}

func (c *refs) fault(path, format string, args ...any) {
	c.faults = append(c.faults, object.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// read decodes an object that must exist and reports whether it did.
func (c *refs) read(path string, key object.Key, out object.Value) bool {
	if c.err != nil {
		return false
	}
	o, err := c.s.objects.Get(c.ctx, key)
	if errors.Is(err, store.ErrAbsent) {
		c.fault(path, "%s/%s does not exist", key.Kind, key.Name)
		return false
	}
	if err == nil {
		err = json.Unmarshal(o.Value, out)
	}
	c.err = err
	return err == nil
}

func (c *refs) bounded(path string, n int) bool {
	if n > maxReferences {
		c.fault(path, "must have at most %d items", maxReferences)
	}
	return n <= maxReferences
}

func (c *refs) organisation(o *object.Organisation) {
	limits := 0
	for _, k := range o.Keys {
		if k.LimitTokens > 0 && !k.Revoked {
			limits++
		}
	}
	if limits > maxReferences {
		c.fault("keys", "must have at most %d keys with a limit", maxReferences)
	}
	if !c.bounded("budgets", len(o.Budgets)) {
		return
	}
	for i, id := range o.Budgets {
		path := fmt.Sprintf("budgets[%d]", i)
		var b object.Budget
		if c.read(path, object.Key{Kind: object.KindBudget, Name: string(id)}, &b) && b.Org != o.ID {
			c.fault(path, "belongs to organisation %q", b.Org)
		}
	}
}

func (c *refs) budget(cur store.Object, b *object.Budget) {
	c.bounded("class_limits", len(b.ClassLimits))
	seen := make(map[ident.Class]bool)
	for i, l := range b.ClassLimits {
		if seen[l.Class] {
			c.fault(fmt.Sprintf("class_limits[%d].class", i), "is used twice")
		}
		seen[l.Class] = true
	}
	if cur.Version == 0 {
		return
	}
	var old object.Budget
	if err := json.Unmarshal(cur.Value, &old); err != nil {
		c.err = err
		return
	}
	if b.Org != old.Org {
		c.fault("org", "must stay %q, because the tokens were paid by that organisation", old.Org)
	}
	if old.Revoked && !b.Revoked {
		c.fault("revoked", "must stay true, because revocation is final")
	}
}

func (c *refs) release(r *object.Release) {
	if !c.bounded("added", len(r.Added)) || !c.bounded("changed", len(r.Changed)) || !c.bounded("withdrawn", len(r.Withdrawn)) {
		return
	}
	for i, v := range r.Added {
		c.version(fmt.Sprintf("added[%d].version", i), v.Version)
		if v.Replaces != "" {
			c.version(fmt.Sprintf("added[%d].replaces", i), v.Replaces)
		}
	}
	for i, v := range r.Changed {
		c.version(fmt.Sprintf("changed[%d].version", i), v.Version)
		c.version(fmt.Sprintf("changed[%d].replaces", i), v.Replaces)
	}
	for i, v := range r.Withdrawn {
		c.version(fmt.Sprintf("withdrawn[%d]", i), v)
	}
	if !r.FinishAt.After(c.s.clock.Now()) {
		c.fault("finish_at", "must be in the future")
	}
	if c.err == nil && len(c.faults) == 0 {
		c.faults = append(c.faults, c.s.fleet.CheckRelease(c.ctx, *r)...)
	}
}

func (c *refs) version(path string, id ident.VersionID) {
	c.read(path, object.Key{Kind: object.KindVersion, Name: string(id)}, new(object.Version))
}

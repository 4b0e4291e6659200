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

// maxReferences limits the references and the limits in one object, because each of them costs platform calls.
const maxReferences = 256

// checkChange validates a new value of an object against the objects that it references and against the stored value.
func (s *Server) checkChange(ctx context.Context, current store.Object, o object.Value) error {
	c := &changeChecker{ctx: ctx, server: s}
	switch v := o.(type) {
	case *object.Organisation:
		c.checkOrganisation(v)
	case *object.Budget:
		c.checkBudget(current, v)
	case *object.Release:
		c.checkRelease(v)
	}
	if c.err != nil {
		return c.err
	}
	if len(c.faults) > 0 {
		return invalidFields(c.faults)
	}
	return nil
}

// changeChecker collects the faults of one change. A platform error stops the check.
type changeChecker struct {
	ctx    context.Context
	server *Server
	faults object.Faults
	err    error
}

func (c *changeChecker) addFault(path, format string, args ...any) {
	c.faults = append(c.faults, object.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// readReference decodes a referenced object into out. It adds a fault if the object does not exist, and reports
// whether out is valid.
func (c *changeChecker) readReference(path string, key object.Key, out object.Value) bool {
	if c.err != nil {
		return false
	}
	o, err := c.server.objects.Get(c.ctx, key)
	if errors.Is(err, store.ErrAbsent) {
		c.addFault(path, "%s/%s does not exist", key.Kind, key.Name)
		return false
	}
	if err == nil {
		err = json.Unmarshal(o.Value, out)
	}
	c.err = err
	return err == nil
}

// checkCount adds a fault if n exceeds maxReferences, and reports whether it does not.
func (c *changeChecker) checkCount(path string, n int) bool {
	if n > maxReferences {
		c.addFault(path, "must have at most %d items", maxReferences)
	}
	return n <= maxReferences
}

func (c *changeChecker) checkOrganisation(o *object.Organisation) {
	limits := 0
	for _, k := range o.Keys {
		if k.LimitTokens > 0 && !k.Revoked {
			limits++
		}
	}
	if limits > maxReferences {
		c.addFault("keys", "must have at most %d keys with a limit", maxReferences)
	}
	if !c.checkCount("budgets", len(o.Budgets)) {
		return
	}
	for i, id := range o.Budgets {
		path := fmt.Sprintf("budgets[%d]", i)
		var b object.Budget
		if c.readReference(path, object.Key{Kind: object.KindBudget, Name: string(id)}, &b) && b.Org != o.ID {
			c.addFault(path, "belongs to organisation %q", b.Org)
		}
	}
}

func (c *changeChecker) checkBudget(current store.Object, b *object.Budget) {
	c.checkCount("class_limits", len(b.ClassLimits))
	seen := make(map[ident.Class]bool)
	for i, l := range b.ClassLimits {
		if seen[l.Class] {
			c.addFault(fmt.Sprintf("class_limits[%d].class", i), "is used twice")
		}
		seen[l.Class] = true
	}
	if current.Version == 0 {
		return
	}
	var old object.Budget
	if err := json.Unmarshal(current.Value, &old); err != nil {
		c.err = err
		return
	}
	if b.Org != old.Org {
		c.addFault("org", "must stay %q, because the tokens were paid by that organisation", old.Org)
	}
	if old.Revoked && !b.Revoked {
		c.addFault("revoked", "must stay true, because revocation is final")
	}
}

func (c *changeChecker) checkRelease(r *object.Release) {
	if !c.checkCount("added", len(r.Added)) || !c.checkCount("changed", len(r.Changed)) || !c.checkCount("withdrawn", len(r.Withdrawn)) {
		return
	}
	for i, v := range r.Added {
		c.checkVersion(fmt.Sprintf("added[%d].version", i), v.Version)
		if v.Replaces != "" {
			c.checkVersion(fmt.Sprintf("added[%d].replaces", i), v.Replaces)
		}
	}
	for i, v := range r.Changed {
		c.checkVersion(fmt.Sprintf("changed[%d].version", i), v.Version)
		c.checkVersion(fmt.Sprintf("changed[%d].replaces", i), v.Replaces)
	}
	for i, v := range r.Withdrawn {
		c.checkVersion(fmt.Sprintf("withdrawn[%d]", i), v)
	}
	if !r.FinishAt.After(c.server.clock.Now()) {
		c.addFault("finish_at", "must be in the future")
	}
	if c.err == nil && len(c.faults) == 0 {
		c.faults = append(c.faults, c.server.fleet.CheckRelease(c.ctx, *r)...)
	}
}

func (c *changeChecker) checkVersion(path string, id ident.VersionID) {
	c.readReference(path, object.Key{Kind: object.KindVersion, Name: string(id)}, new(object.Version))
}

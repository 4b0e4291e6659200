package object

import (
	"encoding/hex"
	"fmt"
	"net/url"
	"regexp"
	"strings"
	"time"

	"geraniumsaddle/core/ident"
)

// MaxTokens is the largest token count that an operator may enter. It keeps sums of counts from overflowing.
const MaxTokens ident.Tokens = 1 << 50

// Fault is one invalid field.
type Fault struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Faults lists the invalid fields of a value. An empty list means that the value is valid.
type Faults []Fault

// Error returns all faults on one line.
func (f Faults) Error() string {
	parts := make([]string, 0, len(f))
	for _, fault := range f {
		parts = append(parts, fault.Path+": "+fault.Message)
	}
	return strings.Join(parts, "; ")
}

// Err returns f as an error, or nil if f is empty.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

func (f *Faults) check(ok bool, path, message string) {
	if !ok {
		*f = append(*f, Fault{Path: path, Message: message})
	}
}

func (f *Faults) checkID(path, id string) {
	f.check(idPattern.MatchString(id), path, "must be 1 to 64 letters, digits, '.', '_' or '-', and start with a letter or digit")
}

func (f *Faults) checkFormat(n int) {
	f.check(n >= 1 && n <= Format, "format", fmt.Sprintf("must be between 1 and %d", Format))
}

func (f *Faults) checkHash(path, s string) {
	b, err := hex.DecodeString(s)
	f.check(err == nil && len(b) == 32 && s == strings.ToLower(s), path, "must be a SHA-256 hash in lower-case hexadecimal")
}

func (f *Faults) checkTokens(path string, n ident.Tokens) {
	f.check(n >= 0 && n <= MaxTokens, path, fmt.Sprintf("must be between 0 and %d", MaxTokens))
}

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// ValidID reports whether s is a valid object name.
func ValidID(s string) bool { return idPattern.MatchString(s) }

// Validate checks names, keys and budgets.
func (o Organisation) Validate() Faults {
	var f Faults
	f.checkFormat(o.Format)
	f.checkID("id", string(o.ID))
	f.check(o.Name != "" && len(o.Name) <= 200, "name", "must have 1 to 200 bytes")
	f.checkID("class", string(o.Class))
	seenKeys := make(map[ident.KeyID]bool)
	for i, k := range o.Keys {
		p := fmt.Sprintf("keys[%d]", i)
		f.checkID(p+".id", string(k.ID))
		f.check(!seenKeys[k.ID], p+".id", "is used twice")
		f.checkHash(p+".sha256", k.SHA256)
		f.checkTokens(p+".limit_tokens", k.LimitTokens)
		seenKeys[k.ID] = true
	}
	seenBudgets := make(map[ident.BudgetID]bool)
	for i, b := range o.Budgets {
		p := fmt.Sprintf("budgets[%d]", i)
		f.checkID(p, string(b))
		f.check(!seenBudgets[b], p, "is used twice")
		seenBudgets[b] = true
	}
	return f
}

// Validate checks the identifiers and limits.
func (b Budget) Validate() Faults {
	var f Faults
	f.checkFormat(b.Format)
	f.checkID("id", string(b.ID))
	f.checkID("org", string(b.Org))
	for i, l := range b.ClassLimits {
		p := fmt.Sprintf("class_limits[%d]", i)
		f.checkID(p+".class", string(l.Class))
		f.checkTokens(p+".tokens", l.Tokens)
	}
	return f
}

// Validate checks the identifiers, address, capacity and state.
func (t Target) Validate() Faults {
	var f Faults
	f.checkFormat(t.Format)
	f.checkID("id", string(t.ID))
	f.checkID("domain", string(t.Domain))
	f.checkID("vm", string(t.VM))
	f.check(t.Kind == TargetEngine || t.Kind == TargetService, "kind", `must be "engine" or "service"`)
	f.check(t.Kind != TargetService || t.Service != "", "service", "is required for a service target")
	u, err := url.Parse(t.URL)
	f.check(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", "url", "must be an http or https URL")
	for i, v := range t.Versions {
		f.checkID(fmt.Sprintf("versions[%d]", i), string(v))
	}
	f.check(t.Capacity >= 1 && t.Capacity <= 65536, "capacity", "must be between 1 and 65536")
	f.check(t.State == TargetActive || t.State == TargetLeaving || t.State == TargetGone, "state", `must be "active", "leaving" or "gone"`)
	return f
}

// Validate checks that the version belongs to one model or one service.
func (v Version) Validate() Faults {
	var f Faults
	f.checkFormat(v.Format)
	f.checkID("id", string(v.ID))
	f.check((v.Model == "") != (v.Service == ""), "model", "exactly one of model and service is required")
	f.check(v.WeightBytes >= 0, "weight_bytes", "must not be negative")
	return f
}

// Validate checks the routes.
func (s Service) Validate() Faults {
	var f Faults
	f.checkFormat(s.Format)
	f.checkID("id", string(s.ID))
	f.check(len(s.Routes) > 0, "routes", "must not be empty")
	for i, r := range s.Routes {
		p := fmt.Sprintf("routes[%d]", i)
		f.check(r.Method != "" && r.Method == strings.ToUpper(r.Method), p+".method", "must be an upper-case HTTP method")
		f.check(strings.HasPrefix(r.Path, "/"), p+".path", "must start with '/'")
		f.checkTokens(p+".cost_tokens", r.CostTokens)
	}
	return f
}

// Validate checks the time window and that no version appears twice.
func (r Release) Validate() Faults {
	var f Faults
	f.checkFormat(r.Format)
	f.checkID("id", string(r.ID))
	f.check(!r.StartAt.IsZero(), "start_at", "is required")
	f.check(r.FinishAt.Sub(r.StartAt) >= time.Second, "finish_at", "must be at least 1 s after start_at")
	f.check(len(r.Added)+len(r.Changed)+len(r.Withdrawn) > 0, "added", "the release names no version")
	seen := make(map[ident.VersionID]bool)
	requireUnique := func(p string, v ident.VersionID) {
		f.checkID(p, string(v))
		f.check(!seen[v], p, "is named twice")
		seen[v] = true
	}
	for i, c := range r.Added {
		requireUnique(fmt.Sprintf("added[%d].version", i), c.Version)
	}
	for i, c := range r.Changed {
		requireUnique(fmt.Sprintf("changed[%d].version", i), c.Version)
		f.checkID(fmt.Sprintf("changed[%d].replaces", i), string(c.Replaces))
	}
	for i, v := range r.Withdrawn {
		requireUnique(fmt.Sprintf("withdrawn[%d]", i), v)
	}
	return f
}

// Validate checks the release name.
func (o ReleaseOutcome) Validate() Faults {
	var f Faults
	f.checkFormat(o.Format)
	f.checkID("release", string(o.Release))
	return f
}

// Validate checks the identifiers.
func (r Router) Validate() Faults {
	var f Faults
	f.checkFormat(r.Format)
	f.checkID("id", string(r.ID))
	f.checkID("domain", string(r.Domain))
	return f
}

// Validate checks the hash and the holder.
func (c Claim) Validate() Faults {
	var f Faults
	f.checkFormat(c.Format)
	f.checkHash("hash", c.Hash)
	f.checkID("holder", string(c.Holder))
	return f
}

// Validate checks the names.
func (l Lease) Validate() Faults {
	var f Faults
	f.checkFormat(l.Format)
	f.checkID("name", l.Name)
	return f
}

// Validate checks the token hash and the role.
func (o Operator) Validate() Faults {
	var f Faults
	f.checkFormat(o.Format)
	f.checkID("id", o.ID)
	f.checkHash("sha256", o.SHA256)
	f.check(o.Role == RoleViewer || o.Role == RoleOperator || o.Role == RoleOwner, "role", `must be "viewer", "operator" or "owner"`)
	return f
}

// Validate checks the identifier.
func (a Audit) Validate() Faults {
	var f Faults
	f.checkFormat(a.Format)
	f.checkID("id", a.ID)
	return f
}

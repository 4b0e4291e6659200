package object

// Key returns the identity of the organisation.
func (o Organisation) Key() Key { return Key{KindOrganisation, string(o.ID)} }

// Key returns the identity of the budget.
func (b Budget) Key() Key { return Key{KindBudget, string(b.ID)} }

// Key returns the identity of the target.
func (t Target) Key() Key { return Key{KindTarget, string(t.ID)} }

// Key returns the identity of the version.
func (v Version) Key() Key { return Key{KindVersion, string(v.ID)} }

// Key returns the identity of the service.
func (s Service) Key() Key { return Key{KindService, string(s.ID)} }

// Key returns the identity of the release.
func (r Release) Key() Key { return Key{KindRelease, string(r.ID)} }

// Key returns the identity of the release outcome.
func (o ReleaseOutcome) Key() Key { return Key{KindOutcome, string(o.Release)} }

// Key returns the identity of the router record.
func (r Router) Key() Key { return Key{KindRouter, string(r.ID)} }

// Key returns the identity of the claim.
func (c Claim) Key() Key { return Key{KindClaim, c.Hash} }

// Key returns the identity of the lease.
func (l Lease) Key() Key { return Key{KindLease, l.Name} }

// Key returns the identity of the operator.
func (o Operator) Key() Key { return Key{KindOperator, o.ID} }

// Key returns the identity of the audit record.
func (a Audit) Key() Key { return Key{KindAudit, a.ID} }

func (Organisation) value()   {}
func (Budget) value()         {}
func (Target) value()         {}
func (Version) value()        {}
func (Service) value()        {}
func (Release) value()        {}
func (ReleaseOutcome) value() {}
func (Router) value()         {}
func (Claim) value()          {}
func (Lease) value()          {}
func (Operator) value()       {}
func (Audit) value()          {}

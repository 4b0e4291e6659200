package escrow

import (
	"time"

	"github.com/gravitational/trace"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// maxOps is the largest number of operator changes that an entry keeps. 16 changes of about 60 bytes in each of 300
// entries of a shard take less than a third of the platform's limit of 1 MB.
const maxOps = 16

// OpKind is the kind of an operator change.
type OpKind string

// The kinds of operator changes.
const (
	OpTopUp    OpKind = "top_up"
	OpRefund   OpKind = "refund"
	OpRelease  OpKind = "release"
	OpWriteOff OpKind = "write_off"
)

// Op is an operator change. Its ID makes it idempotent.
type Op struct {
	ID     string       `json:"id"`
	Kind   OpKind       `json:"kind"`
	Tokens ident.Tokens `json:"tokens"`
	// Holder names the closed holder whose unresolved tokens are released or written off. It is empty
	// for tokens that were lost in transit.
	Holder HolderID `json:"holder,omitempty"`
}

// ApplyOp applies an operator change and reports whether the entry changed. A repeated change has no effect; another
// change under a known ID is an error. An error leaves e as it was.
func (e *Entry) ApplyOp(op Op) (bool, error) {
	if op.ID == "" || op.Tokens <= 0 || op.Tokens > object.MaxTokens {
		return false, trace.BadParameter("operation needs an id and between 1 and %d tokens", object.MaxTokens)
	}
	for _, known := range e.Ops {
		if known.ID != op.ID {
			continue
		}
		if known != op {
			return false, trace.AlreadyExists("operation %q was a %s of %d tokens", op.ID, known.Kind, known.Tokens)
		}
		return false, nil
	}
	if err := e.applyKind(op); err != nil {
		return false, err
	}
	e.Ops = append(e.Ops[max(0, len(e.Ops)+1-maxOps):len(e.Ops):len(e.Ops)], op)
	return true, nil
}

func (e *Entry) applyKind(op Op) error {
	switch op.Kind {
	case OpTopUp:
		if e.Revoked {
			return trace.CompareFailed("budget is revoked")
		}
		if e.Paid+op.Tokens > object.MaxTokens {
			return trace.LimitExceeded("paid would exceed %d tokens", object.MaxTokens)
		}
		e.Paid += op.Tokens
	case OpRefund:
		if free := e.Unallotted(); op.Tokens > free {
			return trace.LimitExceeded("refund of %d tokens exceeds the %d unallotted", op.Tokens, free)
		}
		e.Refunded += op.Tokens
	case OpRelease, OpWriteOff:
		// A receiver may report more than a closed sender's proof contained. The difference is
		// counted both by the receiver and in Unresolved, so it is not available here.
		available := min(e.unresolvedOf(op.Holder), e.UnresolvedTokens()-e.excessReceived())
		if op.Tokens > available {
			return trace.LimitExceeded("%d tokens exceed the %d unresolved", op.Tokens, available)
		}
		e.removeUnresolved(op.Holder, op.Tokens)
		if op.Kind == OpWriteOff {
			e.WrittenOff += op.Tokens
		}
	default:
		return trace.BadParameter("unknown operation %q", op.Kind)
	}
	return nil
}

// excessReceived returns by how much transfers received exceed transfers sent.
func (e *Entry) excessReceived() ident.Tokens {
	n := -e.ClosedNetOut
	for i := range e.Holders {
		n += e.Holders[i].In - e.Holders[i].Out
	}
	return max(0, n)
}

// unresolvedOf returns the unresolved tokens of one holder.
func (e *Entry) unresolvedOf(id HolderID) ident.Tokens {
	var n ident.Tokens
	for _, u := range e.Unresolved {
		if u.Holder == id {
			n += u.Tokens
		}
	}
	return n
}

// removeUnresolved removes up to n unresolved tokens of a holder and returns how many.
func (e *Entry) removeUnresolved(id HolderID, n ident.Tokens) ident.Tokens {
	var sum ident.Tokens
	kept := make([]Unresolved, 0, len(e.Unresolved))
	for _, u := range e.Unresolved {
		if u.Holder == id {
			taken := min(n-sum, u.Tokens)
			u.Tokens -= taken
			sum += taken
		}
		if u.Tokens > 0 {
			kept = append(kept, u)
		}
	}
	e.Unresolved = kept
	return sum
}

// Revoke makes the entry permanently unusable and reports whether it changed.
func (e *Entry) Revoke() bool {
	changed := !e.Revoked
	e.Revoked = true
	return changed
}

// SetExpiry sets the time from which tokens are no longer spent, and reports whether it changed. The zero time means
// never.
func (e *Entry) SetExpiry(at time.Time) bool {
	changed := !e.ExpiresAt.Equal(at)
	e.ExpiresAt = at
	return changed
}

// SetCapacity sets the number of slots to n and reports whether the entry changed. If slots have to be withdrawn from
// holders, PendingReduction counts them until they are returned.
func (e *Entry) SetCapacity(n ident.Tokens) (bool, error) {
	if n < 0 || n > object.MaxTokens {
		return false, trace.BadParameter("capacity must be between 0 and %d", object.MaxTokens)
	}
	before := *e
	current := e.Paid - e.Refunded - e.PendingReduction
	if n > current {
		undo := min(n-current, e.PendingReduction)
		e.PendingReduction -= undo
		e.Paid += n - current - undo
	} else {
		e.PendingReduction += current - n
	}
	e.applyPendingReduction()
	return before.Paid != e.Paid || before.Refunded != e.Refunded || before.PendingReduction != e.PendingReduction, nil
}

// applyPendingReduction withdraws unallotted slots up to the part of a capacity reduction that is still outstanding.
func (e *Entry) applyPendingReduction() {
	n := max(0, min(e.PendingReduction, e.Unallotted()))
	e.PendingReduction -= n
	e.Refunded += n
}

package escrow

import (
	"fmt"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// namedCounter is a counter of an entry or a row with its JSON key.
type namedCounter struct {
	name  string
	value ident.Tokens
}

// Validate returns every fault of the entry, such as a counter out of range, a row out of order, or more
// tokens handed out than paid.
func (e *Entry) Validate() object.Faults { return e.validateAt("entry") }

// validateAt returns the faults of an entry at the given path of a shard.
func (e *Entry) validateAt(path string) object.Faults {
	var f object.Faults
	fault := func(field, message string) {
		f = append(f, object.Fault{Path: path + "." + field, Message: message})
	}
	counters := func(prefix string, fields []namedCounter) {
		for _, c := range fields {
			if c.value < 0 || c.value > object.MaxTokens {
				fault(prefix+c.name, fmt.Sprintf("must be between 0 and %d", object.MaxTokens))
			}
		}
	}
	if e.ID == "" {
		fault("id", "is required")
	}
	counters("", []namedCounter{
		{"paid", e.Paid}, {"refunded", e.Refunded}, {"closed_settled", e.ClosedSettled},
		{"written_off", e.WrittenOff}, {"shrink", e.PendingReduction},
	})
	if e.ClosedNetOut < -object.MaxTokens || e.ClosedNetOut > object.MaxTokens {
		fault("closed_net_out", "is out of range")
	}
	if len(e.Holders) > MaxHolders {
		fault("holders", fmt.Sprintf("must have at most %d rows", MaxHolders))
	}
	if len(e.Unresolved) > MaxHolders {
		fault("unresolved", fmt.Sprintf("must have at most %d items", MaxHolders))
	}
	for i := range e.Holders {
		h, p := &e.Holders[i], fmt.Sprintf("holders[%d].", i)
		counters(p, []namedCounter{
			{"granted", h.Granted}, {"returned", h.Returned}, {"settled", h.Settled},
			{"in", h.In}, {"out", h.Out}, {"wanted", h.UnmetNeed},
		})
		if h.ID == "" || i > 0 && e.Holders[i-1].ID >= h.ID {
			fault(p+"id", "must be sorted, unique and not empty")
		}
		if h.RowNumber < 1 || h.RowNumber > e.RowsOpened {
			fault(p+"open", "must be between 1 and opened")
		}
	}
	for i, u := range e.Unresolved {
		counters(fmt.Sprintf("unresolved[%d].", i), []namedCounter{{"tokens", u.Tokens}})
	}
	for i, op := range e.Ops {
		counters(fmt.Sprintf("op_ids[%d].", i), []namedCounter{{"tokens", op.Tokens}})
	}
	if len(f) == 0 && e.Unallotted() < 0 {
		fault("paid", fmt.Sprintf("%d tokens more are handed out than paid", -e.Unallotted()))
	}
	return f
}

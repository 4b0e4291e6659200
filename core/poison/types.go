package poison

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"geraniumsaddle/core/ident"
)

// The bounds of what is recorded and reported.
const (
	// maxPartID is the longest ID of a part in bytes. A longer one is replaced by its hash.
	maxPartID = 64
	// maxQuarantined bounds the quarantined parts that are remembered.
	maxQuarantined = 256
	// maxClearances bounds the answers in a report, and maxReportedParts the parts of its losses.
	maxClearances    = 2048
	maxReportedParts = 8192
)

// Part identifies a part of the prompts of a service.
type Part struct {
	Service ident.ServiceID `cbor:"1,keyasint"`
	ID      string          `cbor:"2,keyasint"`
}

// Prompt holds the IDs of the parts of a prompt, in order. The last part is specific to one request or conversation.
type Prompt []string

// partID returns the ID under which a part is known. The hash of a long ID is one for which nobody can choose another ID with
// the same hash, because a caller would clear or quarantine the parts of others with it.
func partID(id string) string {
	if len(id) <= maxPartID {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return "sha256-" + hex.EncodeToString(sum[:16])
}

// Target is one start of a target.
type Target struct {
	ID ident.TargetID `cbor:"1,keyasint"`
	// Born is the start time in Unix milliseconds, or zero if unknown.
	Born int64 `cbor:"2,keyasint,omitempty"`
}

// Loss is the end of a target as a router has seen it.
type Loss struct {
	Target  Target          `cbor:"1,keyasint"`
	Service ident.ServiceID `cbor:"2,keyasint"`
	// Age is how long ago the target ended.
	Age time.Duration `cbor:"3,keyasint"`
	// Prompts are those of the requests that the target had not begun to answer. In a report they lack the parts that were
	// answered since.
	Prompts []Prompt `cbor:"4,keyasint"`
}

// Clearance says how long ago a target answered a request with a part, or an operator lifted its quarantine.
type Clearance struct {
	Part Part          `cbor:"1,keyasint"`
	Age  time.Duration `cbor:"2,keyasint"`
}

// Quarantine is a part whose requests are sent to no target.
type Quarantine struct {
	Part Part `cbor:"1,keyasint"`
	// Age is how long ago the part was quarantined, and LossAge how long ago the last target ended that counts against it.
	Age     time.Duration `cbor:"2,keyasint"`
	LossAge time.Duration `cbor:"3,keyasint"`
	// Losses is the number of targets that count against the part, and Prompts the number of different prompts with it
	// among their unanswered requests.
	Losses  int `cbor:"4,keyasint"`
	Prompts int `cbor:"5,keyasint"`
	// Strikes counts how often the part has been quarantined, and Term is how long it stays so this time.
	Strikes int           `cbor:"6,keyasint"`
	Term    time.Duration `cbor:"7,keyasint"`
}

// Report is what one router tells others.
type Report struct {
	Losses      []Loss       `cbor:"1,keyasint,omitempty"`
	Clearances  []Clearance  `cbor:"2,keyasint,omitempty"`
	Quarantines []Quarantine `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether the report says nothing.
func (r Report) Empty() bool {
	return len(r.Losses) == 0 && len(r.Clearances) == 0 && len(r.Quarantines) == 0
}

// Event is a change of the quarantine: Quarantined or Released.
type Event interface{ event() }

// Quarantined says that a part is quarantined from now on.
type Quarantined struct {
	Quarantine
	// Targets are the targets that count against the part, as far as this router knows them.
	Targets []ident.TargetID
}

// Released says that a part is no longer quarantined.
type Released struct {
	Part   Part
	Reason ReleaseReason
}

// ReleaseReason is why a quarantine has ended.
type ReleaseReason string

// The reasons for which a quarantine ends.
const (
	ReleasedByAnswer ReleaseReason = "a request with the part was answered, or an operator lifted the quarantine"
	ReleasedByTerm   ReleaseReason = "the term of the quarantine ended"
	// ReleasedForOthers means that too many parts have ended targets since.
	ReleasedForOthers ReleaseReason = "more parts are quarantined than can be remembered"
)

func (Quarantined) event() {}
func (Released) event()    {}

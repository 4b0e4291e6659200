package ident

import (
	"errors"
	"fmt"
	"log/slog"
)

// Era counts how often the platform's store has come back from an older copy of its objects. It is zero on a platform
// that does not tell.
type Era uint64

// revisionBits is the number of bits of an ObjectVersion that hold the revision. A store that makes 100,000 changes per
// second needs more after five years; the era has the other 20 bits.
const revisionBits = 44

const (
	maxRevision = 1<<revisionBits - 1
	maxEra      = 1<<(64-revisionBits) - 1
)

// ErrVersionRange means that an era or a revision does not fit into an ObjectVersion.
var ErrVersionRange = errors.New("era or revision of the store is out of range")

// NewObjectVersion returns the version of a revision that the store has given out in an era. A store that comes back from
// an older copy gives out revisions again, so that a revision identifies a state only together with its era. Versions of
// a later era are greater. The revision zero, of an absent object, has no era.
func NewObjectVersion(era Era, revision uint64) (ObjectVersion, error) {
	if era == 0 || revision == 0 {
		return ObjectVersion(revision), nil
	}
	if era > maxEra || revision > maxRevision {
		return 0, fmt.Errorf("%w: era %d, revision %d", ErrVersionRange, era, revision)
	}
	return ObjectVersion(uint64(era)<<revisionBits | revision), nil
}

// Era returns the era in which the store gave out the version.
func (v ObjectVersion) Era() Era { return Era(v >> revisionBits) }

// Revision returns the version as the store knows it.
func (v ObjectVersion) Revision() uint64 { return uint64(v) & maxRevision }

// LogValue returns the era and the revision as "era/revision", and the revision alone on a platform without eras.
func (v ObjectVersion) LogValue() slog.Value {
	if v.Era() == 0 {
		return slog.Uint64Value(uint64(v))
	}
	return slog.StringValue(fmt.Sprintf("%d/%d", v.Era(), v.Revision()))
}

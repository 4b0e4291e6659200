// Package digest holds what routers tell each other of the requests that they have in progress at targets.
//
// Each router tells its own counts only, so that they add up and a router answers for nothing but its own. A digest replaces
// the one before of the same router, so that a lost one is made up for by the next. Digests that are not renewed end.
//
// The package does no I/O and reads no clock.
package digest

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"geraniumsaddle/core/ident"
)

const (
	// MaxRows bounds the targets in a digest.
	MaxRows = 48
	// keySize is the size of an encoded Key in bytes.
	keySize = 6
	// prefillUnit, outputUnit and memoryUnit are the units of encoded tokens.
	prefillUnit = 64
	outputUnit  = 16
	memoryUnit  = 256
	// MaxSize bounds the encoded rows of a digest in bytes: a key, and four numbers of at most three bytes each.
	MaxSize = MaxRows * (keySize + 4*3)
	// maxValue is the largest number that takes three bytes.
	maxValue = 1<<21 - 1
)

// Key identifies one start of a target, so that what ran before a restart doesn't count afterwards.
type Key uint64

// KeyOf returns the key of a target that started at a time in Unix milliseconds.
func KeyOf(id ident.TargetID, born int64) Key {
	const mask = 1<<(8*keySize) - 1
	return Key(xxhash.Sum64String(string(id)+"\x00"+strconv.FormatInt(born, 36)) & mask)
}

// Work is what one router, or several together, have in progress at a target.
type Work struct {
	// Running is the number of requests.
	Running int
	// Prefill is the number of prompt tokens that the target still has to read, Output the number of output tokens that it is
	// expected to produce, and Memory the number of tokens that the requests hold in its KV cache.
	Prefill, Output, Memory ident.Tokens
}

// Row is the work at one target.
type Row struct {
	Target Key
	Work
}

// Digest is what one router has in progress.
type Digest struct {
	// Seq increases with each digest of one process.
	Seq uint64 `cbor:"1,keyasint"`
	// Domain is the failure domain of the router.
	Domain ident.DomainID `cbor:"2,keyasint"`
	// Packed holds the rows as Pack encodes them.
	Packed []byte `cbor:"3,keyasint,omitempty"`
}

// Pack encodes rows. If there are more than MaxRows, it keeps those with the most requests.
func Pack(rows []Row) []byte {
	if len(rows) > MaxRows {
		rows = slices.Clone(rows)
		slices.SortFunc(rows, func(a, b Row) int {
			return cmp.Or(cmp.Compare(b.Running, a.Running), cmp.Compare(a.Target, b.Target))
		})
		rows = rows[:MaxRows]
	}
	b := make([]byte, 0, len(rows)*(keySize+6))
	for _, r := range rows {
		var key [8]byte
		binary.BigEndian.PutUint64(key[:], uint64(r.Target))
		b = append(b, key[8-keySize:]...)
		b = appendNumber(b, int64(r.Running))
		b = appendNumber(b, int64(r.Prefill)/prefillUnit)
		b = appendNumber(b, int64(r.Output)/outputUnit)
		b = appendNumber(b, int64(r.Memory)/memoryUnit)
	}
	return b
}

func appendNumber(b []byte, n int64) []byte {
	return binary.AppendUvarint(b, uint64(min(max(n, 0), maxValue)))
}

var errMalformed = errors.New("digest is malformed")

// Rows decodes the rows.
func (d Digest) Rows() ([]Row, error) {
	if len(d.Packed) > MaxSize {
		return nil, errMalformed
	}
	rows := make([]Row, 0, min(len(d.Packed)/(keySize+4), MaxRows))
	for b := d.Packed; len(b) > 0; {
		if len(b) < keySize || len(rows) == MaxRows {
			return nil, errMalformed
		}
		var key [8]byte
		copy(key[8-keySize:], b)
		b = b[keySize:]
		var n [4]int64
		for i := range n {
			v, size := binary.Uvarint(b)
			if size <= 0 || v > maxValue {
				return nil, errMalformed
			}
			n[i], b = int64(v), b[size:]
		}
		rows = append(rows, Row{Key(binary.BigEndian.Uint64(key[:])), Work{
			Running: int(n[0]), Prefill: ident.Tokens(n[1] * prefillUnit), Output: ident.Tokens(n[2] * outputUnit),
			Memory: ident.Tokens(n[3] * memoryUnit),
		}})
	}
	return rows, nil
}

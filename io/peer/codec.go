package peer

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"geraniumsaddle/core/ident"
)

const (
	// Format is the envelope format that Encode writes and the newest one that Decode accepts.
	Format = 1
	// MaxMessage is the maximum size of an encoded message with its envelope. Platform values have up to 1 MB.
	MaxMessage ident.Bytes = 1 << 20
)

// Errors of Decode. Encode also returns ErrTooLarge.
var (
	ErrTooLarge      = errors.New("message exceeds the size limit")
	ErrUnknownType   = errors.New("message type is unknown")
	ErrUnknownFormat = errors.New("message format is unknown")
	ErrMalformed     = errors.New("message is malformed")
)

// Envelope is a decoded message with its sender.
type Envelope struct {
	From ident.RouterID
	Msg  Message
	Size ident.Bytes
}

type wireEnvelope struct {
	Format int             `cbor:"1,keyasint"`
	Type   uint64          `cbor:"2,keyasint"`
	From   ident.RouterID  `cbor:"3,keyasint"`
	Body   cbor.RawMessage `cbor:"4,keyasint"`
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortNone, Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  16,
		MaxArrayElements: 65536,
		MaxMapPairs:      1024,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the encoded envelope of a message from the given router.
func Encode(from ident.RouterID, m Message) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", m.Type(), err)
	}
	b, err := encMode.Marshal(wireEnvelope{Format: Format, Type: uint64(m.Type()), From: from, Body: body})
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", m.Type(), err)
	}
	if ident.Bytes(len(b)) > MaxMessage {
		return nil, fmt.Errorf("encode %s of %d bytes: %w", m.Type(), len(b), ErrTooLarge)
	}
	return b, nil
}

// Decode decodes an envelope and its message. The error wraps ErrTooLarge, ErrUnknownType, ErrUnknownFormat or
// ErrMalformed.
func Decode(b []byte) (Envelope, error) {
	if ident.Bytes(len(b)) > MaxMessage {
		return Envelope{}, ErrTooLarge
	}
	var w wireEnvelope
	if err := decMode.Unmarshal(b, &w); err != nil {
		return Envelope{}, fmt.Errorf("envelope: %w: %w", ErrMalformed, err)
	}
	if w.Format < 1 || w.Format > Format {
		return Envelope{}, fmt.Errorf("format %d: %w", w.Format, ErrUnknownFormat)
	}
	if w.Type >= uint64(typeEnd) || w.Type == 0 {
		return Envelope{}, fmt.Errorf("type %d: %w", w.Type, ErrUnknownType)
	}
	t := Type(w.Type)
	m, err := types[t].decode(w.Body)
	if err != nil {
		return Envelope{}, fmt.Errorf("%s: %w: %w", t, ErrMalformed, err)
	}
	return Envelope{From: w.From, Msg: m, Size: ident.Bytes(len(b))}, nil
}

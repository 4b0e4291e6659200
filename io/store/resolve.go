package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"reflect"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// maxResolve bounds the writes of one PutResolved.
const maxResolve = 3

// PutResolved is Put that resolves an unknown effect by reading the object back:
//
//   - The stored value equals the written one: the write had its effect, and its version is returned. Two writers of
//     equal values under the same condition would both be told so; values that name their writer avoid this.
//   - The condition still holds: the write is sent again, which is safe because the condition decides.
//   - The object changed to another value: the error stays ErrUnknown with the current version in Error.Version,
//     because the write may have had its effect before the other one.
//
// The error also stays ErrUnknown when the object cannot be read back.
func (c *Client) PutResolved(ctx context.Context, key object.Key, value []byte, cond Condition) (ident.ObjectVersion, error) {
	uncertain := false
	for n := 1; ; n++ {
		v, err := c.Put(ctx, key, value, cond)
		if err == nil {
			return v, nil
		}
		uncertain = uncertain || errors.Is(err, ErrUnknown)
		if !uncertain {
			return 0, err
		}
		current, found, readErr := c.readBack(ctx, key)
		switch {
		case readErr != nil:
			return 0, unresolved(key, 0, errors.Join(err, readErr))
		case found && equalJSON(current.Value, value) && current.Version > cond.version:
			return current.Version, nil
		case n >= maxResolve || !cond.holds(current.Version):
			return 0, unresolved(key, current.Version, err)
		}
	}
}

// readBack returns the object, or its absence.
func (c *Client) readBack(ctx context.Context, key object.Key) (o Object, found bool, err error) {
	o, err = c.Get(ctx, key)
	if errors.Is(err, ErrAbsent) {
		return Object{}, false, nil
	}
	return o, err == nil, err
}

func unresolved(key object.Key, v ident.ObjectVersion, cause error) error {
	return &Error{Kind: ErrUnknown, Call: "put " + string(key.Kind) + "/" + key.Name, Version: v, Err: cause}
}

// holds reports whether an object of version v meets the condition.
func (c Condition) holds(v ident.ObjectVersion) bool {
	switch {
	case c.absent:
		return v == 0
	case c.version != 0:
		return v == c.version
	}
	return true
}

// equalJSON compares two JSON texts by content, because the platform may change their spacing and escapes.
func equalJSON(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	va, errA := decodeExact(a)
	vb, errB := decodeExact(b)
	return errA == nil && errB == nil && reflect.DeepEqual(va, vb)
}

// decodeExact decodes JSON and keeps numbers as text, so that large integers stay distinct.
func decodeExact(b []byte) (any, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var v any
	err := d.Decode(&v)
	return v, err
}

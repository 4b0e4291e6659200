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

// maxResolveWrites is the maximum number of writes that one PutResolved sends.
const maxResolveWrites = 3

// PutResolved is like Put, but if the effect of the write is unknown it reads the object back:
//
//   - If the stored value equals the written one, the write had its effect, and PutResolved returns its version. If two
//     writers write equal values under the same condition, both get this result. Values that name their writer avoid
//     this.
//   - If the condition still holds, PutResolved sends the write again. This is safe because the platform checks the
//     condition again.
//   - If the object has changed to another value, the error is ErrUnknown with the current version in Error.Version. The
//     write may have had its effect before the other one.
//
// The error is also ErrUnknown if the object cannot be read back.
func (c *Client) PutResolved(ctx context.Context, key object.Key, value []byte, cond Condition) (ident.ObjectVersion, error) {
	uncertain := false
	for attempt := 1; ; attempt++ {
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
			return 0, effectUnknownError(key, 0, errors.Join(err, readErr))
		case found && equalJSON(current.Value, value) && current.Version > cond.version:
			return current.Version, nil
		case attempt >= maxResolveWrites || !cond.satisfiedBy(current.Version):
			return 0, effectUnknownError(key, current.Version, err)
		}
	}
}

// readBack returns the object and whether it exists.
func (c *Client) readBack(ctx context.Context, key object.Key) (o Object, found bool, err error) {
	o, err = c.Get(ctx, key)
	if errors.Is(err, ErrAbsent) {
		return Object{}, false, nil
	}
	return o, err == nil, err
}

func effectUnknownError(key object.Key, v ident.ObjectVersion, cause error) error {
	return &Error{Kind: ErrUnknown, Call: "put " + string(key.Kind) + "/" + key.Name, Version: v, Err: cause}
}

// satisfiedBy reports whether an object of version v meets the condition. Version 0 means that the object is absent.
func (c Condition) satisfiedBy(v ident.ObjectVersion) bool {
	switch {
	case c.absent:
		return v == 0
	case c.version != 0:
		return v == c.version
	}
	return true
}

// equalJSON compares two JSON texts by content, because the platform may change whitespace and escapes.
func equalJSON(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	va, errA := decodeJSON(a)
	vb, errB := decodeJSON(b)
	return errA == nil && errB == nil && reflect.DeepEqual(va, vb)
}

// decodeJSON decodes JSON and keeps numbers as text, so that different large integers remain different.
func decodeJSON(b []byte) (any, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var v any
	err := d.Decode(&v)
	return v, err
}

package store

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// maxEvent bounds one line of a watch: a value of 1 MB with its escapes and the rest of the object.
const maxEvent = 2*MaxValue + 64<<10

// Event is one change of an object.
type Event struct {
	// Deleted says that the object was removed. Its version is then that of the removal.
	Deleted bool
	Object  Object
}

// Watch calls fn with each change of a kind after version from, in the order of versions, until the stream ends or
// fn or the context fails. It returns the version of the last event that fn accepted, from which the caller watches
// again, and an error that is never nil: ErrCompacted when the history is gone, ErrUnavailable when the stream ended,
// ErrInvalid for a malformed or unordered event, or the error of fn or of the context.
func (c *Client) Watch(ctx context.Context, kind object.Kind, from ident.ObjectVersion, fn func(Event) error) (ident.ObjectVersion, error) {
	k := call{name: "watch " + string(kind), method: http.MethodGet, path: []string{"v1", "watch", string(kind)}}
	k.query = url.Values{"from": {strconv.FormatUint(uint64(from), 10)}}
	resp, err := c.send(ctx, k)
	if err != nil {
		return from, stopped(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEvent)
	for lines.Scan() {
		e, err := decodeEvent(lines.Bytes())
		if err == nil && (e.Object.Version <= from || e.Object.Key.Kind != kind) {
			err = errors.New("event is out of order or of another kind")
		}
		if err != nil {
			return from, &Error{Kind: ErrInvalid, Call: k.name, Err: err}
		}
		if err := fn(e); err != nil {
			return from, err
		}
		from = e.Object.Version
	}
	err = lines.Err()
	if errors.Is(err, bufio.ErrTooLong) {
		return from, &Error{Kind: ErrTooLarge, Call: k.name, Err: err}
	}
	return from, stopped(ctx, &Error{Kind: ErrUnavailable, Call: k.name, Err: err})
}

// stopped prefers the error of an ended context.
func stopped(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// decodeEvent decodes one line of a watch.
func decodeEvent(line []byte) (Event, error) {
	var e struct {
		Type   string     `json:"type"`
		Object wireObject `json:"object"`
	}
	if err := json.Unmarshal(line, &e); err != nil {
		return Event{}, err
	}
	if e.Object.Name == "" || e.Object.Version == 0 {
		return Event{}, errors.New("event has no object name or version")
	}
	switch e.Type {
	case "put":
		if len(e.Object.Value) == 0 {
			return Event{}, errors.New("put event has no value")
		}
		return Event{Object: e.Object.object()}, nil
	case "delete":
		e.Object.Value = nil
		return Event{Deleted: true, Object: e.Object.object()}, nil
	}
	return Event{}, errors.New("unknown type of event")
}

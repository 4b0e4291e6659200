package store

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// maxEventLine is the maximum length of one line of a watch: a value of 1 MB with JSON escapes and the rest of the
// object.
const maxEventLine = 2*MaxValue + 64<<10

// Event is a change of one object.
type Event struct {
	// Deleted reports whether the object was deleted. Its version is then the version of the deletion.
	Deleted bool
	Object  Object
}

// Watch calls fn with each change of a kind after version from, in the order of versions, until the stream or the
// context ends or fn returns an error. It returns the version of the last event that fn accepted, from which the
// caller can resume, and an error that is never nil: ErrCompacted if the history no longer contains the events,
// ErrUnavailable if the stream ended, ErrTooLarge for a line over the limit, ErrInvalid for a malformed or unordered
// event, the error of a refused request, or the error of fn or of the context.
func (c *Client) Watch(ctx context.Context, kind object.Kind, from ident.ObjectVersion, fn func(Event) error) (ident.ObjectVersion, error) {
	req := request{name: "watch " + string(kind), method: http.MethodGet, path: []string{"v1", "watch", string(kind)}}
	req.query = url.Values{"from": {strconv.FormatUint(uint64(from), 10)}}
	resp, err := c.send(ctx, req)
	if err != nil {
		return from, preferContextErr(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventLine)
	lines.Split(splitWholeLines)
	for lines.Scan() {
		e, err := decodeEvent(lines.Bytes())
		if err == nil && (e.Object.Version <= from || e.Object.Key.Kind != kind) {
			err = errors.New("event is out of order or of another kind")
		}
		if err != nil {
			return from, &Error{Kind: ErrInvalid, Call: req.name, Err: err}
		}
		if err := fn(e); err != nil {
			return from, err
		}
		from = e.Object.Version
	}
	err = lines.Err()
	if errors.Is(err, bufio.ErrTooLong) {
		return from, &Error{Kind: ErrTooLarge, Call: req.name, Err: err}
	}
	return from, preferContextErr(ctx, &Error{Kind: ErrUnavailable, Call: req.name, Err: err})
}

// splitWholeLines is a split function that drops a line without its end, which the end of the stream has cut.
func splitWholeLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if atEOF && !bytes.ContainsRune(data, '\n') {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

// preferContextErr returns the error of the context if it has ended, and err otherwise.
func preferContextErr(ctx context.Context, err error) error {
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

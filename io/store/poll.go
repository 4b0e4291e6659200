package store

import (
	"context"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// PollResult are the changes of a kind that one poll returned, in the order of versions.
type PollResult struct {
	Events []Event
	// Version is where the next poll starts.
	Version ident.ObjectVersion
	// Unreadable is the number of changes that were left out because they could not be decoded.
	Unreadable int
}

// PollingStore is a store that is watched by polling and whose writes are conditional. Its errors are those of this package.
type PollingStore interface {
	// Get returns an object, or ErrAbsent.
	Get(ctx context.Context, key object.Key) (Object, error)
	// List returns a page of the objects of a kind whose names follow after.
	List(ctx context.Context, kind object.Kind, after string) (Page, error)
	// Poll waits for changes after a version, up to a time. The error is ErrCompacted when they are no longer kept.
	Poll(ctx context.Context, kind object.Kind, from ident.ObjectVersion, wait time.Duration) (PollResult, error)
	// Create stores a new object. On ErrConflict it returns the stored object.
	Create(ctx context.Context, key object.Key, value []byte) (Object, error)
	// Replace stores the value of an object of the given version. On ErrConflict it returns the stored object.
	Replace(ctx context.Context, key object.Key, v ident.ObjectVersion, value []byte) (Object, error)
	// SetStatus stores the status of an object of the given version.
	SetStatus(ctx context.Context, key object.Key, v ident.ObjectVersion, status []byte) (Object, error)
}

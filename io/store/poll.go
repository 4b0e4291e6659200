package store

import (
	"context"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// PollResult holds the changes that one poll returned.
type PollResult struct {
	// Events are the changes in the order of versions.
	Events []Event
	// Version is the version after which the next poll starts.
	Version ident.ObjectVersion
	// Unreadable is the number of changes that were skipped because they could not be decoded.
	Unreadable int
}

// PollingStore is an object store that is watched by polling. Its writes are conditional, and its errors are those of
// this package.
type PollingStore interface {
	// Era returns the latest era in which the store has answered, or zero if it does not tell. Versions contain the era in
	// which they were read.
	Era() ident.Era
	// OnRewind sets the function that is called when the era rises.
	OnRewind(fn func(ident.Era))
	// Get returns an object. The error is ErrAbsent if it does not exist.
	Get(ctx context.Context, key object.Key) (Object, error)
	// List returns a page of the objects of a kind, starting with the first name that follows after.
	List(ctx context.Context, kind object.Kind, after string) (Page, error)
	// Poll waits, at most as long as wait, for changes after a version. The error is ErrCompacted if the history no
	// longer contains them or the version is of an earlier era.
	Poll(ctx context.Context, kind object.Kind, from ident.ObjectVersion, wait time.Duration) (PollResult, error)
	// Create stores a new object. If one exists, it returns ErrConflict and the stored object.
	Create(ctx context.Context, key object.Key, value []byte) (Object, error)
	// Replace stores a new value if the object has version v. Otherwise it returns ErrConflict and the stored object, or no
	// object if the version is of an earlier era.
	Replace(ctx context.Context, key object.Key, v ident.ObjectVersion, value []byte) (Object, error)
	// SetStatus stores the status of an object if the object has version v.
	SetStatus(ctx context.Context, key object.Key, v ident.ObjectVersion, status []byte) (Object, error)
}

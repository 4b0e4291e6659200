package node

import "errors"

var (
	// ErrBadObject marks a platform object that this program cannot use. The last good form stays in force.
	ErrBadObject = errors.New("object cannot be used")
	// ErrDraining marks work that is refused because the router is shutting down.
	ErrDraining = errors.New("router is shutting down")
	// ErrNotWriter marks a ledger report for a shard that cannot be written now.
	ErrNotWriter = errors.New("shard cannot be written now")
)

package node

import "errors"

var (
	// ErrBadObject is returned for a platform object that this program cannot use. The last usable form stays in force.
	ErrBadObject = errors.New("object cannot be used")
	// ErrShuttingDown is returned for work of the control goroutine after it has ended in a shutdown.
	ErrShuttingDown = errors.New("router is shutting down")
	// ErrNotWriter is returned for a ledger report to a shard that cannot be written now.
	ErrNotWriter = errors.New("shard cannot be written now")
)

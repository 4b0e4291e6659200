package node

import "errors"

// ErrBadObject marks a platform object that this program cannot use. The last good form stays in force.
var ErrBadObject = errors.New("object cannot be used")

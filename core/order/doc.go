// Package order decides which orders go to model engines: which versions, adapters and roles a target
// has, and when it loads weights.
//
// One router at a time issues orders, under a lease on the platform. The lease has a fencing number,
// which some targets check. Every order is repeatable: it names a state of the target, so a second
// delivery changes nothing. The package is pure: callers do the I/O and pass in the time.
package order

// Package order decides which orders are sent to model engines. Orders control which versions, adapters and roles a
// target has, and when it loads weights.
//
// Only one router at a time issues orders, under a lease on the platform. The lease has a fencing number, which some
// targets check. Every order is idempotent: it specifies a state of the target, so a second delivery changes nothing.
// The package does no I/O and reads no clock; callers pass in the time.
package order

// Package member decides which routers are reachable.
//
// It is a failure detector in the style of SWIM: random probes, indirect probes, suspicion with a timeout, and
// incarnation numbers by which a live member refutes a suspicion. The detector combines the states with the platform's
// VM list. The package does no I/O: time, randomness and messages are passed in, and the caller carries out the
// returned actions.
package member

// Package node builds a router process from the decision logic of the core packages and the clients of
// the peers. One control goroutine owns all mutable control state and applies events in order; traffic
// goroutines read immutable snapshots and reserve through atomics.
package node

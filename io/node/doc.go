// Package node implements a router process. It connects the decision logic of the core packages to the clients of the
// platform, the targets and the other routers. One control goroutine owns the mutable control state and applies events
// in order. Traffic goroutines, which handle requests, read immutable snapshots and reserve tokens and slots with
// atomic operations.
package node

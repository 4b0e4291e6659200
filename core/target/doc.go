// Package target maintains the pools of targets and chooses a target for each request.
//
// The control goroutine owns a Registry. It updates the registry with configuration, VM states, load reports and cache
// events, and calls Build, which returns an immutable Table. Traffic goroutines read the newest Table and call
// Pool.Choose. The only state that both sides write is a few atomic counters per target.
package target

// Package edge is the router process on the users' platform: it takes the requests of callers, chooses targets, relays
// answers, and keeps its knowledge of configuration, targets and prepaid tokens in step with the platform's store.
//
// Traffic goroutines read immutable tables and take short locks. Each kind of object in the store has one goroutine
// that follows it, and one goroutine writes the ledger of prepaid tokens.
package edge

// Package edge implements the router process on the users' platform. It accepts the requests of callers, chooses
// targets, relays their answers, and synchronizes configuration, targets and prepaid tokens with the platform's store.
//
// Request goroutines read immutable tables and hold locks only briefly. One goroutine watches each kind of object in
// the store. Others synchronize the prepaid tokens: they write the ledgers, or send claims to a router that writes
// them.
package edge

// Package link tells how much of its VM's network link a router uses, and when it should send callers away.
//
// It answers one load: the balancer spreads callers by a hash, so that a few callers with large requests may need more
// than the link of one router carries while other routers have room. Requests then wait in the link, where no router
// can refuse them. A router with a full link leaves the balancer's rotation and closes a part of its callers'
// connections after their answers, so that these callers come back to another router.
//
// The package does no I/O and reads no clock.
package link

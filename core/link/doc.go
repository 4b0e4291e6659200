// Package link measures how much of its VM's network link a router uses, and decides when the router sheds callers.
//
// The load balancer distributes callers by a hash, so a few callers with large requests can saturate the link of one
// router while other routers have free capacity. Their requests then wait in the network, where no router can refuse
// them. A router whose link is nearly saturated therefore reports itself as not ready, which takes it out of the
// balancer's rotation. If the load still grows, it also closes some of its callers' connections after their answers, so
// that these callers reconnect to another router.
//
// The package does no I/O and reads no clock.
package link

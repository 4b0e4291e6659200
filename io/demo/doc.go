// Package demo runs a fleet of routers and its stand-ins in one process on loopback. A scripted tour sends requests,
// injects failures and checks the invariants.
package demo

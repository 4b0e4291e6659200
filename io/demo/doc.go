// Package demo runs the stand-ins and a fleet of routers in one process on loopback, and a scripted tour of them.
package demo

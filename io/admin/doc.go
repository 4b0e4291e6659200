// Package admin serves the HTTP API for operators and has its client for the command line.
//
// Objects are changed by conditional updates on the platform: an accepted change is one that the
// platform confirmed. Each change writes an audit record before it and its result after it.
package admin

// Package bill keeps the record of what each request was billed: batching into pages, the roll-up into
// months and the statements.
//
// A bill is identified by its request. The same bill may reach the platform from several routers and
// in several pages, and a page may be written or read more than once. All functions give the same
// result then. The package does no I/O and reads no clock.
package bill

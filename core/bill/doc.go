// Package bill records what each request was billed. It batches bills into pages, rolls pages up into days and months,
// and produces statements.
//
// A bill is identified by its request. The same bill may reach the platform from several routers and in several pages,
// and a page may be written or read more than once. Such repetitions do not change the result. The package does no I/O
// and reads no clock.
package bill

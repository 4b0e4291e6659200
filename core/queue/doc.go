// Package queue holds requests that wait for capacity, and the budget for retries.
//
// The queue is bounded and fair by organisation: organisations take turns by deficit round robin over
// tokens, and priorities order the requests inside an organisation. Nothing here is safe for
// concurrent use; the time is passed in.
package queue

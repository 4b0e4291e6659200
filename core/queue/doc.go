// Package queue holds requests that wait for capacity, and the budget for retries.
//
// The queue is bounded and fair between organisations: they take turns by deficit round robin over tokens, and
// priorities order the requests within an organisation. No type is safe for concurrent use. Callers pass in the current
// time.
package queue

package ident

// Priority orders the requests of one organisation, as set by the X-Priority header.
type Priority uint8

// The priorities, from the first served to the last served.
const (
	PriorityHigh Priority = iota
	PriorityNormal
	PriorityLow
	// PriorityCount is the number of priorities.
	PriorityCount
)

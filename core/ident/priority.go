package ident

// Priority is the class of a request within its organisation, as in the X-Priority header.
type Priority uint8

// The priorities, from first served to last served.
const (
	PriorityHigh Priority = iota
	PriorityNormal
	PriorityLow
	// PriorityCount is the number of priorities.
	PriorityCount
)

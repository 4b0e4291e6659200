// Package escrow divides prepaid tokens and capacity slots between the routers of a fleet.
//
// The platform holds one Entry for each budget, limit or target. A router that uses its tokens or slots is a holder
// with a row in the entry and an Account in memory. Every counter is cumulative and never decreases, and each counter
// has one owner: the entry owns Granted, and the holder owns Returned, Settled, In and Out. Merging by maximum makes
// duplicate, late and reordered messages harmless, so no message needs a reply to be safe.
//
// The package does no I/O and reads no clock.
package escrow

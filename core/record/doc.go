// Package record replicates a router's journal of open holds, claims, settlements and escrow counters to a journal
// peer. After the router's VM is gone, the peer recovers the router's requests and proves how many of its tokens are
// unspent.
//
// Journal is the router's side and Replica the peer's side. Neither does I/O or reads a clock. Both sides keep the
// coverage rule:
//
//   - The router releases an entry that the peer has not acknowledged only when Grace has passed since the last
//     acknowledgement that it received.
//   - The router confirms an acknowledgement only when every released entry is acknowledged.
//   - The peer proves the unspent tokens only when it learns within Grace, less ClockMargin, that the router is gone,
//     counted from the time at which it sent the latest confirmed acknowledgement.
//
// The router receives an acknowledgement after the peer sent it, so the router's grace period ends after the peer's.
package record

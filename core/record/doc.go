// Package record keeps a router's open holds, claims, settlements and escrow counters at a journal peer, so that the
// peer can recover the router's requests and prove its unspent rest after its VM is gone.
//
// Journal is the router's side and Replica the peer's side. Neither does I/O or reads a clock. The coverage rule that
// both sides keep:
//
//   - The router releases an entry that the peer has not acknowledged only when Grace has passed since the last
//     acknowledgement that it received.
//   - The router confirms an acknowledgement only when every released entry is acknowledged.
//   - The peer proves the rest only when it learns of the death within Grace, counted from the time at which it sent
//     the latest confirmed acknowledgement.
//
// The router receives an acknowledgement after the peer sent it, so the router's grace ends after the peer's.
package record

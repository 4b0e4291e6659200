// Package conns holds the connections of callers and closes the idle ones.
//
// A connection is closed as idle only by the read that waits for the next request: the limit is the deadline of that
// read. A read returns either bytes or the expiry of its deadline, so a request that was read is never cut off by the
// idle timeout or by a shutdown. Closing a connection from another goroutine can't guarantee that, and
// http.Server.Shutdown and http.Server.SetKeepAlivesEnabled do so.
//
// Connections and heads count against a budget of memory. When it is full, connections are evicted in the same way: the
// deadline of the read that waits is set to the past, and a read that returns bytes, or a request that became whole, wins.
package conns

// Package peer carries messages between routers over QUIC with mutual TLS.
//
// Messages are CBOR maps with integer keys in an envelope with format and type. A reader ignores
// unknown fields, and it counts and drops unknown types, so that two releases run side by side.
package peer

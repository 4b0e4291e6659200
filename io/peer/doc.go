// Package peer carries messages between routers over QUIC with mutual TLS.
//
// Messages are CBOR maps with integer keys, in an envelope that states the format and the message type. The decoder
// ignores unknown fields. Messages of unknown types are counted and dropped. Two releases can therefore run side by
// side.
package peer

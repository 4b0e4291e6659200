// Package config holds versioned platform objects and keeps copies in several processes equal.
//
// A store never applies an older version of an object, whether it comes from a watch, a list or a
// peer. Stores compare digests and exchange what differs. The package does no I/O.
package config

// Package config stores versioned platform objects and replicates them between processes.
//
// A store never replaces an object with an older version, whether it comes from a watch, a list or a peer. Stores
// compare digests and exchange the objects that differ (anti-entropy). The package does no I/O.
package config

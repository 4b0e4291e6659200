// Package cold limits the requests to targets that are cold, and raises the share of a failure domain that is taken back
// into use.
//
// A cold target tolerates few requests a second, summed over all routers, and the routers exchange no messages about
// them. Each router derives its share from the list of routers alone: the shares of routers that know the same list add
// up to a planned rate below the bound, and the difference covers routers that know another list.
//
// The package does no I/O and reads no clock.
package cold

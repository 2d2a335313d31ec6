// Package simulator runs a fleet in virtual time: clients that send and retry requests, gateways that run
// the real balancer, a network, an endpoint discovery, and hosts that queue requests, share their cores,
// warm up, become congested and fail.
//
// It does no I/O, starts no goroutine and reads no clock: the same Config and seed give the same Summary on
// any machine. Four rules are checked at every event; Summary counts their violations.
package simulator

// Package simulator simulates a fleet in virtual time: clients that send and retry requests, gateways that run the
// real balancer, a network, an endpoint discovery service, and hosts that queue requests, divide their cores among
// them, warm up, become congested and fail.
//
// It does no I/O, starts no goroutine and reads no clock: the same Config, including its seed, gives the same Summary
// on any machine. Four rules (see Rule) are checked during the run, and the Summary counts their violations.
package simulator

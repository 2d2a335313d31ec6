// Package faulttest starts a fleet of gateways as processes of the program, injects faults and checks what the gateways
// did. It knows the program by its files, its addresses and its log alone.
//
// A Fleet is laid out by New and changed by its methods and those of its Gateways. A Plan is a list of faults for
// Fleet.Play; TransferLease measures how long a lease has no holder; a FaultCase shows that a failpoint has an effect
// on processes. A History records what was done and what the gateways logged, and FindViolations checks it.
package faulttest

// Package faulttest starts a fleet of gateways as processes, injects faults and checks the behaviour of the gateways. It
// interacts with the program only through its files, its addresses and its log.
//
// New creates the files and links of a Fleet; its methods and those of its Gateways start processes and inject faults. A
// Plan is a list of faults for Fleet.Play. TransferLease measures how long the transfer of a lease takes. A FaultCase
// checks that a failpoint has an effect on real processes. A History records faults and log messages of the gateways, and
// FindViolations checks it.
package faulttest

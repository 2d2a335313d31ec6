// Package flightrecorder records the events and actions that pass between a gateway's event loop and its
// balancer. It reads such recordings, replays them, summarizes them, and tries other builds of the balancer
// on them.
//
// A recording is a sequence of blocks, each with a checksum of its own: a block that is torn, lost or
// overwritten affects no other, and bytes between two blocks are skipped. block.go and record.go have the
// format byte by byte.
//
// Recorder takes the place of the balancer in the event loop; File writes its blocks to a file; Trigger tells
// when a dump is due. Reader reads blocks, Replay compares what this build decides with what was recorded,
// Analyse summarizes one recording and Fleet those of many gateways, and Fit builds a Simulation from one.
package flightrecorder

// Package flightrecorder records the events and actions that a gateway's event loop and its balancer exchange.
// It reads, replays and summarizes such recordings, and simulates the recorded traffic with the balancer of this
// build.
//
// A recording is a sequence of blocks, each with its own checksum: a block that is torn, lost or overwritten
// doesn't affect other blocks, and bytes between two blocks are skipped. block.go and record.go define the
// format.
//
// Recorder takes the place of the balancer in the event loop; File writes its blocks to a file; Trigger decides
// when a dump is due. Reader reads blocks, Replay compares the decisions of this build with the recorded ones,
// Analyze summarizes one recording and Fleet those of many gateways, and Fit builds a Simulation from one.
package flightrecorder

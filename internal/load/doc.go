// Package load sends requests to the entries as callers do, in an open loop:
// every arrival is scheduled ahead and its latency counts from the scheduled
// time, so that a slow system cannot slow down its own measurement
// (coordinated omission). Answers are those of the stand-in engines, whose
// every token tells whose answer it is.
package load

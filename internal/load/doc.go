// Package load is an open-loop load generator: it sends requests to the entries
// at times that are scheduled ahead and measures latency from the scheduled
// time, so that a slow system does not reduce the load that it is measured
// under (coordinated omission). It expects the responses of the stand-in
// engines, in which every token depends on the prompt, and so detects a
// response that belongs to another request.
package load

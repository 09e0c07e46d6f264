// Package abusive tests that every process of the system survives clients that do not behave: it
// neither ends nor hangs, stays within its memory and its descriptors, and ordinary clients are
// still answered. Each test starts real processes on loopback; run one at a time.
package abusive

import "testing"

// bear lets a crowd of the kind attack each of the addresses in turn.
func bear(t *testing.T, start func(*testing.T) *system, addresses []string, k kind) {
	t.Helper()
	var s *system
	for _, name := range addresses {
		if s == nil {
			s = start(t)
		}
		if !t.Run(name, func(t *testing.T) { s.bear(t, s.targets[name], k) }) {
			s = nil
		}
	}
}

// bear lets a crowd of the kind attack the target, and checks that its process survives.
func (s *system) bear(t *testing.T, g target, k kind) {
	eventually(t, startTimeout, s.request)
	u := watchUsage(t, g.process.PID(), g.address)
	c := gather(t.Context(), g, k)
	// The crowd stays while an ordinary client tries.
	eventually(t, answerTimeout, s.request)
	eventually(t, answerTimeout, g.answers)
	c.disperse()
	eventually(t, answerTimeout, s.request)
	eventually(t, answerTimeout, g.answers)
	if !g.process.Running() {
		t.Fatal("the process has ended")
	}
	memory, open, err := u.end()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak: %d MB, of them at most %d unread, %d descriptors", memory/mib, u.unread/mib, open)
	if memory > memoryMB*mib {
		t.Errorf("the process took %d MB, its machine has %d", memory/mib, memoryMB)
	}
	if open > descriptors-reservedDescriptors {
		t.Errorf("the process had %d descriptors open, %d of %d are reserved", open, reservedDescriptors, descriptors)
	}
}

// Addresses that the programs listen on.
var (
	gatewayAddresses = []string{"caller", "ready", "directory", "metrics", "peer"}
	fleetAddresses   = []string{"internal", "operator"}
	entryAddresses   = []string{"caller", "peer"}
	controlAddresses = []string{"control"}
)

func TestGatewayBearsLongHeads(t *testing.T)    { bear(t, startFleet, gatewayAddresses, longHeads) }
func TestGatewayBearsEndlessHeads(t *testing.T) { bear(t, startFleet, gatewayAddresses, endlessHeads) }
func TestGatewayBearsEndlessLines(t *testing.T) { bear(t, startFleet, gatewayAddresses, endlessLines) }
func TestGatewayBearsBlankLines(t *testing.T)   { bear(t, startFleet, gatewayAddresses, blankLines) }
func TestGatewayBearsBlankLinesBehindRequests(t *testing.T) {
	bear(t, startFleet, gatewayAddresses, blankLinesBehindRequests)
}
func TestGatewayBearsBareBlankLines(t *testing.T) {
	bear(t, startFleet, gatewayAddresses, bareBlankLines)
}
func TestGatewayBearsHeldHeads(t *testing.T) { bear(t, startFleet, gatewayAddresses, heldHeads) }
func TestGatewayBearsHeldLongHeads(t *testing.T) {
	bear(t, startFleet, gatewayAddresses, heldLongHeads)
}
func TestGatewayBearsHeldRequests(t *testing.T)      { bear(t, startFleet, gatewayAddresses, heldRequests) }
func TestGatewayBearsTinyFields(t *testing.T)        { bear(t, startFleet, gatewayAddresses, tinyFields) }
func TestGatewayBearsSilentConnections(t *testing.T) { bear(t, startFleet, gatewayAddresses, silent) }
func TestGatewayBearsIdleConnections(t *testing.T)   { bear(t, startFleet, gatewayAddresses, idle) }
func TestGatewayBearsHeldBodies(t *testing.T)        { bear(t, startFleet, gatewayAddresses, bodies) }
func TestGatewayBearsDenseBodies(t *testing.T)       { bear(t, startFleet, gatewayAddresses, denseBodies) }
func TestGatewayBearsEndlessBodies(t *testing.T) {
	bear(t, startFleet, gatewayAddresses, endlessBodies)
}
func TestGatewayBearsCompressedBodies(t *testing.T) {
	bear(t, startFleet, gatewayAddresses, compressedBodies)
}
func TestGatewayBearsEndlessTrailers(t *testing.T) {
	bear(t, startFleet, gatewayAddresses, endlessTrailers)
}
func TestGatewayBearsUnreadResponses(t *testing.T) {
	bear(t, startFleet, gatewayAddresses, unreadResponses)
}
func TestGatewayBearsNames(t *testing.T)        { bear(t, startFleet, gatewayAddresses, names) }
func TestGatewayBearsHTTP2Heads(t *testing.T)   { bear(t, startFleet, gatewayAddresses, http2Heads) }
func TestGatewayBearsHTTP2Streams(t *testing.T) { bear(t, startFleet, gatewayAddresses, http2Streams) }

func TestFleetBearsLongHeads(t *testing.T)    { bear(t, startFleet, fleetAddresses, longHeads) }
func TestFleetBearsEndlessHeads(t *testing.T) { bear(t, startFleet, fleetAddresses, endlessHeads) }
func TestFleetBearsEndlessLines(t *testing.T) { bear(t, startFleet, fleetAddresses, endlessLines) }
func TestFleetBearsBlankLines(t *testing.T)   { bear(t, startFleet, fleetAddresses, blankLines) }
func TestFleetBearsBlankLinesBehindRequests(t *testing.T) {
	bear(t, startFleet, fleetAddresses, blankLinesBehindRequests)
}
func TestFleetBearsBareBlankLines(t *testing.T)    { bear(t, startFleet, fleetAddresses, bareBlankLines) }
func TestFleetBearsHeldHeads(t *testing.T)         { bear(t, startFleet, fleetAddresses, heldHeads) }
func TestFleetBearsHeldLongHeads(t *testing.T)     { bear(t, startFleet, fleetAddresses, heldLongHeads) }
func TestFleetBearsHeldRequests(t *testing.T)      { bear(t, startFleet, fleetAddresses, heldRequests) }
func TestFleetBearsTinyFields(t *testing.T)        { bear(t, startFleet, fleetAddresses, tinyFields) }
func TestFleetBearsSilentConnections(t *testing.T) { bear(t, startFleet, fleetAddresses, silent) }
func TestFleetBearsIdleConnections(t *testing.T)   { bear(t, startFleet, fleetAddresses, idle) }
func TestFleetBearsHeldBodies(t *testing.T)        { bear(t, startFleet, fleetAddresses, bodies) }
func TestFleetBearsDenseBodies(t *testing.T)       { bear(t, startFleet, fleetAddresses, denseBodies) }
func TestFleetBearsEndlessBodies(t *testing.T)     { bear(t, startFleet, fleetAddresses, endlessBodies) }
func TestFleetBearsCompressedBodies(t *testing.T) {
	bear(t, startFleet, fleetAddresses, compressedBodies)
}
func TestFleetBearsEndlessTrailers(t *testing.T) {
	bear(t, startFleet, fleetAddresses, endlessTrailers)
}
func TestFleetBearsUnreadResponses(t *testing.T) {
	bear(t, startFleet, fleetAddresses, unreadResponses)
}
func TestFleetBearsNames(t *testing.T)        { bear(t, startFleet, fleetAddresses, names) }
func TestFleetBearsHTTP2Heads(t *testing.T)   { bear(t, startFleet, fleetAddresses, http2Heads) }
func TestFleetBearsHTTP2Streams(t *testing.T) { bear(t, startFleet, fleetAddresses, http2Streams) }

func TestEntryBearsLongHeads(t *testing.T)    { bear(t, startEntry, entryAddresses, longHeads) }
func TestEntryBearsEndlessHeads(t *testing.T) { bear(t, startEntry, entryAddresses, endlessHeads) }
func TestEntryBearsEndlessLines(t *testing.T) { bear(t, startEntry, entryAddresses, endlessLines) }
func TestEntryBearsBlankLines(t *testing.T)   { bear(t, startEntry, entryAddresses, blankLines) }
func TestEntryBearsBlankLinesBehindRequests(t *testing.T) {
	bear(t, startEntry, entryAddresses, blankLinesBehindRequests)
}
func TestEntryBearsBareBlankLines(t *testing.T)    { bear(t, startEntry, entryAddresses, bareBlankLines) }
func TestEntryBearsHeldHeads(t *testing.T)         { bear(t, startEntry, entryAddresses, heldHeads) }
func TestEntryBearsHeldLongHeads(t *testing.T)     { bear(t, startEntry, entryAddresses, heldLongHeads) }
func TestEntryBearsHeldRequests(t *testing.T)      { bear(t, startEntry, entryAddresses, heldRequests) }
func TestEntryBearsTinyFields(t *testing.T)        { bear(t, startEntry, entryAddresses, tinyFields) }
func TestEntryBearsSilentConnections(t *testing.T) { bear(t, startEntry, entryAddresses, silent) }
func TestEntryBearsIdleConnections(t *testing.T)   { bear(t, startEntry, entryAddresses, idle) }
func TestEntryBearsHeldBodies(t *testing.T)        { bear(t, startEntry, entryAddresses, bodies) }
func TestEntryBearsDenseBodies(t *testing.T)       { bear(t, startEntry, entryAddresses, denseBodies) }
func TestEntryBearsEndlessBodies(t *testing.T)     { bear(t, startEntry, entryAddresses, endlessBodies) }
func TestEntryBearsCompressedBodies(t *testing.T) {
	bear(t, startEntry, entryAddresses, compressedBodies)
}
func TestEntryBearsEndlessTrailers(t *testing.T) {
	bear(t, startEntry, entryAddresses, endlessTrailers)
}
func TestEntryBearsUnreadResponses(t *testing.T) {
	bear(t, startEntry, entryAddresses, unreadResponses)
}
func TestEntryBearsNames(t *testing.T)        { bear(t, startEntry, entryAddresses, names) }
func TestEntryBearsHTTP2Heads(t *testing.T)   { bear(t, startEntry, entryAddresses, http2Heads) }
func TestEntryBearsHTTP2Streams(t *testing.T) { bear(t, startEntry, entryAddresses, http2Streams) }

func TestControlBearsLongHeads(t *testing.T)    { bear(t, startEntry, controlAddresses, longHeads) }
func TestControlBearsEndlessHeads(t *testing.T) { bear(t, startEntry, controlAddresses, endlessHeads) }
func TestControlBearsEndlessLines(t *testing.T) { bear(t, startEntry, controlAddresses, endlessLines) }
func TestControlBearsBlankLines(t *testing.T)   { bear(t, startEntry, controlAddresses, blankLines) }
func TestControlBearsBlankLinesBehindRequests(t *testing.T) {
	bear(t, startEntry, controlAddresses, blankLinesBehindRequests)
}
func TestControlBearsBareBlankLines(t *testing.T) {
	bear(t, startEntry, controlAddresses, bareBlankLines)
}
func TestControlBearsHeldHeads(t *testing.T) { bear(t, startEntry, controlAddresses, heldHeads) }
func TestControlBearsHeldLongHeads(t *testing.T) {
	bear(t, startEntry, controlAddresses, heldLongHeads)
}
func TestControlBearsHeldRequests(t *testing.T)      { bear(t, startEntry, controlAddresses, heldRequests) }
func TestControlBearsTinyFields(t *testing.T)        { bear(t, startEntry, controlAddresses, tinyFields) }
func TestControlBearsSilentConnections(t *testing.T) { bear(t, startEntry, controlAddresses, silent) }
func TestControlBearsIdleConnections(t *testing.T)   { bear(t, startEntry, controlAddresses, idle) }
func TestControlBearsHeldBodies(t *testing.T)        { bear(t, startEntry, controlAddresses, bodies) }
func TestControlBearsDenseBodies(t *testing.T)       { bear(t, startEntry, controlAddresses, denseBodies) }
func TestControlBearsEndlessBodies(t *testing.T) {
	bear(t, startEntry, controlAddresses, endlessBodies)
}
func TestControlBearsCompressedBodies(t *testing.T) {
	bear(t, startEntry, controlAddresses, compressedBodies)
}
func TestControlBearsEndlessTrailers(t *testing.T) {
	bear(t, startEntry, controlAddresses, endlessTrailers)
}
func TestControlBearsUnreadResponses(t *testing.T) {
	bear(t, startEntry, controlAddresses, unreadResponses)
}
func TestControlBearsNames(t *testing.T)        { bear(t, startEntry, controlAddresses, names) }
func TestControlBearsHTTP2Heads(t *testing.T)   { bear(t, startEntry, controlAddresses, http2Heads) }
func TestControlBearsHTTP2Streams(t *testing.T) { bear(t, startEntry, controlAddresses, http2Streams) }

package gateway

import (
	"testing"

	"parsleyramp/internal/wire"
)

// versioned returns the entry of an engine with the software version.
func versioned(e *scriptedEngine, version string) *wire.FleetEndpoint {
	return &wire.FleetEndpoint{Address: e.address, Version: version}
}

func TestBrokenStreamIsNotResumedAtAnotherSoftwareVersion(t *testing.T) {
	a, b := startEngine(t, chunks(false, event(1))), startEngine(t, chunks(true, event(2)))
	_, body, err := call(t, t.Context(), startGatewayTo(t, resumable, versioned(a, "v1"), versioned(b, "v1.1")))
	if err == nil {
		t.Errorf("body %q of a stream that began at v1 is whole, want it broken off", body)
	}
	if n := len(b.requests()); n != 0 {
		t.Errorf("the endpoint of v1.1 got %d requests, want 0", n)
	}
}

func TestStreamOfUnknownSoftwareVersionIsRefusedAsNotRun(t *testing.T) {
	e := startEngine(t, chunks(true, event(3)))
	address := startGatewayTo(t, resumable, versioned(e, "v1.1"))
	resp, _, err := call(t, t.Context(), address, "After", "2", "Resumes", "attempt of a gateway that was killed")
	if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("response %v, error %v, want status 503 with a time to come back", resp, err)
	}
	if n := len(e.requests()); n != 0 {
		t.Errorf("the endpoint got %d requests, want 0", n)
	}
}

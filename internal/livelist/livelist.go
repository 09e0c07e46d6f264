// Package livelist is the client of the platform's live list: the list of live
// and leaving VMs. The list lags behind their actual state.
package livelist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"parsleyramp/internal/fail"
)

// PathVMs is the URL path of the live list.
const PathVMs = "/vms"

const maxListBytes = 8 << 20

// VMState is the state of a VM in the live list.
type VMState string

// States of a VM.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// VMKind is the kind of endpoint that runs on a VM.
type VMKind string

// Kinds of VMs that requests are routed to.
const (
	KindEngine  VMKind = "engine"
	KindService VMKind = "service"
)

// VM is one element of the live list.
type VM struct {
	ID   string `json:"id"`
	Kind VMKind `json:"kind"`
	// Address has the form ip:port.
	Address string  `json:"address"`
	Domain  string  `json:"domain"`
	State   VMState `json:"state"`
	// Service is the name of the service that the VM runs; empty for engines.
	Service      string `json:"service,omitempty"`
	Accelerators uint32 `json:"accelerators,omitempty"`
}

// LiveList reads the list of live and leaving VMs.
type LiveList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// HTTPLiveList reads the list as JSON over HTTP.
type HTTPLiveList struct {
	Client *http.Client
	// Address is that of the live list, as ip:port.
	Address string
}

// VMs reads the list.
func (l *HTTPLiveList) VMs(ctx context.Context) ([]VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Address+PathVMs, nil)
	if err != nil {
		return nil, fail.Wrap(err, fail.Internal, "cannot create the request for the live list")
	}
	resp, err := l.Client.Do(req)
	if err != nil {
		return nil, fail.Wrap(err, fail.Unavailable, "reading the live list failed")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fail.New(fail.Unavailable, "reading the live list failed: status "+resp.Status)
	}
	var vms []VM
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&vms); err != nil {
		return nil, fail.Wrap(err, fail.Unavailable, "cannot decode the live list")
	}
	return vms, nil
}

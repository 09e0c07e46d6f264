// Package livelist is the client of the platform's live list: the list of live
// and leaving VMs. The list lags behind their actual state.
package livelist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"unicode/utf8"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/jsonarray"
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, fail.Wrap(err, fail.Unavailable, "reading the live list failed")
	}
	return decode(text)
}

// decode decodes the list. Elements that name no VM are left out, because other writers
// may put any bytes there.
func decode(text []byte) ([]VM, error) {
	object := append(append([]byte(`{"vms":`), text...), '}')
	elements, _, err := jsonarray.Split(object, "vms", func(element []byte) bool {
		_, ok := decodeVM(element)
		return ok
	})
	if err != nil {
		return nil, fail.Wrap(err, fail.Unavailable, "cannot decode the live list")
	}
	var out []VM
	for _, element := range elements {
		if vm, ok := decodeVM(element); ok {
			out = append(out, vm)
		}
	}
	return out, nil
}

// decodeVM decodes one element. It returns false if it names no VM.
func decodeVM(element []byte) (VM, bool) {
	var vm VM
	if !utf8.Valid(element) || json.Unmarshal(element, &vm) != nil {
		return VM{}, false
	}
	address, err := netip.ParseAddrPort(vm.Address)
	known := (vm.State == Live || vm.State == Leaving) && (vm.Kind == KindEngine || vm.Kind == KindService)
	return vm, err == nil && address.Port() != 0 && vm.ID != "" && known
}

package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"parsleyramp/internal/fail"
)

const maxReportBytes = 4 << 20

// State reads the exact state of the engine.
func (h *HTTP) State(ctx context.Context, address string) (*EngineState, error) {
	var s EngineState
	return &s, h.exchange(ctx, http.MethodGet, address, PathState, nil, &s)
}

// Order sends an order and waits for its result. After an error, the engine may
// have executed the order or not.
func (h *HTTP) Order(ctx context.Context, address string, o Order) (*OrderResult, error) {
	var r OrderResult
	return &r, h.exchange(ctx, http.MethodPost, address, PathOrders, o, &r)
}

// Load reads the load report of the engine, which lags.
func (h *HTTP) Load(ctx context.Context, address string) (*LoadReport, error) {
	var r LoadReport
	return &r, h.exchange(ctx, http.MethodGet, address, PathLoad, nil, &r)
}

// Events reads the cache events after the sequence number.
func (h *HTTP) Events(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := PathEvents + "?after=" + strconv.FormatUint(after, 10)
	return events, h.exchange(ctx, http.MethodGet, address, path, nil, &events)
}

// Cancel cancels a request that may still run on the engine.
func (h *HTTP) Cancel(ctx context.Context, address, requestID string) error {
	return h.exchange(ctx, http.MethodPost, address, PathCancel+"?id="+requestID, nil, nil)
}

// exchange sends in as JSON, if not nil, and decodes the response into out, if
// not nil.
func (h *HTTP) exchange(ctx context.Context, method, address, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fail.Wrap(err, fail.Internal, "cannot encode the body of the request to the engine")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return fail.Wrap(err, fail.Internal, "cannot create the request to the engine")
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return fail.Wrap(err, fail.EndpointFailed, method+" "+path).WithRan(fail.RanUnknown)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return fail.Wrap(err, fail.EndpointFailed, method+" "+path).WithRan(fail.RanUnknown)
	}
	if resp.StatusCode != http.StatusOK {
		return fail.New(fail.EndpointFailed, method+" "+path+": status "+resp.Status).WithRan(fail.RanUnknown)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fail.Wrap(err, fail.EndpointFailed, method+" "+path)
	}
	return nil
}

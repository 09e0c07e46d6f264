package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"parsleyramp/platform/standin"
)

// put sends the next document until it is acknowledged, and returns the replica that
// acknowledged it.
func (b *bed) put() (int, error) {
	b.version++
	version := b.version
	text := standin.Document(uint64(version), engineLimits, nil)
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(retryPause) {
		id := b.others(1)[0]
		status, _, by := b.call(http.MethodPost, id, "/config/put", text)
		if status == http.StatusOK {
			b.newest, b.ackedAt = version, time.Now()
			b.event("core-%d acknowledged version %d", by, version)
			return by, nil
		}
	}
	return 0, fmt.Errorf("version %d was never acknowledged", version)
}

// sendOnly sends the next document and does not wait for its acknowledgement.
func (b *bed) sendOnly() {
	b.version++
	text := standin.Document(uint64(b.version), engineLimits, nil)
	for _, id := range b.all() {
		go func() {
			status, _, by := b.call(http.MethodPost, id, "/config/put", text)
			b.event("core-%d answered %d to version %d, which nobody awaits", by, status, b.version)
		}()
	}
}

// read returns the version that the replica, or the leader that it names, shows.
func (b *bed) read(id int) (version int, err error) {
	status, text, _ := b.call(http.MethodGet, id, "/config/get", nil)
	var got struct {
		Version int `json:"version"`
	}
	if status != http.StatusOK {
		return 0, fmt.Errorf("core-%d answered a read with status %d", id, status)
	}
	return got.Version, json.Unmarshal(text, &got)
}

// call calls a replica, follows one redirect and returns which replica answered. The
// status is zero without an answer.
func (b *bed) call(method string, id int, path string, body []byte) (status int, text []byte, by int) {
	ctx, cancel := context.WithTimeout(b.ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.address(id, operatorPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, 0
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, 0
	}
	defer resp.Body.Close()
	if text, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil, 0
	}
	for id := range maxCores {
		if resp.Request.URL.Host == b.address(id, operatorPort) {
			by = id
		}
	}
	return resp.StatusCode, text, by
}

// maxCores bounds the ids of replicas.
const maxCores = 20

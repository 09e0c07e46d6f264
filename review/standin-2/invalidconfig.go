package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

// playInvalidConfig sends a configuration of which a route names an unknown service, beside its split. It is broken if
// that is acknowledged. Without trouble the route names a service that is declared.
func playInvalidConfig(s *system, trouble bool) (bool, error) {
	service := "ledger"
	if trouble {
		service = "ghost"
	}
	document, err := changed(2, func(d map[string]any) {
		route := d["routes"].([]any)[0].(map[string]any)
		route["service"] = service
		route[names.Split] = []any{map[string]any{"service": "ledger", "weight": 100}}
	})
	if err != nil {
		return false, err
	}
	status, body := s.put(document)
	s.record.add("sent: %s", document)
	s.record.add("answered %d %s", status, body)
	time.Sleep(applyTime)
	_, newest := s.get()
	inForce := bytes.Contains([]byte(newest), []byte(`"ghost"`))
	s.record.conclude("a configuration whose first route names the service %s was answered %d; it is read back: %v", service, status, inForce)
	switch {
	case !trouble && status != http.StatusOK:
		return true, nil
	case trouble:
		return status == http.StatusOK || inForce, nil
	}
	return false, nil
}

// changed returns the configuration with another version and a change.
func changed(version int, change func(map[string]any)) ([]byte, error) {
	var d map[string]any
	if err := json.Unmarshal(documentText, &d); err != nil {
		return nil, err
	}
	d["version"] = version
	change(d)
	return json.Marshal(d)
}

package main

import "encoding/json"

// Services and host of the configurations.
const (
	host    = "shop.example"
	models  = "models-a"
	ledger  = "ledger-b"
	ledger2 = "ledger-c"
)

type object = map[string]any

func route(name, prefix, kind, service string, more object) object {
	r := object{
		"name": name, "host": host, "pathPrefix": prefix, fieldKind: kind, "timeoutMs": 12000, fieldTarget: 400, "priority": 1,
		"service": service, "maxAttempts": 1, fieldSticky: false, "resumable": false, fieldPause: 250,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// configuration returns a configuration with the usual routes and further ones.
func configuration(version int, more ...object) object {
	list := []object{}
	for _, m := range []string{"m0", "m1"} {
		list = append(list, object{"name": m, fieldWeights: 60000, "loadS": 0.6, "adapters": 0, "adapterMb": 12, "warmS": 0.3, "diskS": 0.4})
	}
	routes := append([]object{
		route("draft", "/draft/", "streaming", models, nil),
		route("digest", "/digest/", "streaming", models, object{"resumable": true, "maxAttempts": 2, "timeoutMs": 15000, fieldTarget: 1200}),
		route("post", "/post/", "unsafe", ledger, nil),
		route("read", "/read/", "safe", ledger, object{"maxAttempts": 2}),
	}, more...)
	return object{
		"version": version, "routes": routes,
		"services": []object{
			{"name": models, "healthPath": "/healthz", "maxConnections": 200, "protocol": "h1", "tls": false, "engine": object{
				"slots": 24, fieldCache: 113394, "moves": false, "backups": false, fieldWeights: 200000, fieldAdapters: 8, fieldLoads: 2.9, "holdMs": 2000, "models": list}},
			{"name": ledger, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false},
			{"name": ledger2, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false},
		},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func encode(o object) []byte {
	data, err := json.Marshal(o)
	must(err)
	return data
}

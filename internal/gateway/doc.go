// Package gateway is the data plane of a fleet that is configured by a fleet
// document: it routes the requests of clients by host and path, sends each to
// an endpoint, and forwards the response. It receives the routes, the endpoints
// and the requests that other gateways have in flight from the leader of the
// control plane.
package gateway

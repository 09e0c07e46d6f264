// Package gateway is the traffic side of a fleet that is declared by whole
// documents: it takes callers' requests by host and path, sends each to an
// endpoint itself, and passes the answer on. It learns routes, endpoints and
// what other gateways have in progress from the control leader.
package gateway

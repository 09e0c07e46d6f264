// Package fleetcontrol is the control side of a fleet that is declared by whole
// documents: replicas that agree on the document, a leader that reads the live
// list and the engines, decides which models are resident and gives the orders,
// and the exchange with gateways.
//
// Replicas form their group from seeds alone, and repair it by themselves.
package fleetcontrol

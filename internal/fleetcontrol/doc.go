// Package fleetcontrol is the control plane of a fleet that is declared by fleet
// documents. Replicas agree on the document by consensus. The leader reads the
// live list and the reports of engines, decides which models are resident, sends
// orders to engines and exchanges state with gateways.
//
// Replicas form their group from the seed addresses alone, and replace lost
// members without an operator.
package fleetcontrol

// Package orders decides when a committed order is sent, resent, resolved or
// abandoned, and when no copy of it can take effect any more. A copy is one
// transmission of an order; it may arrive late or more than once. The package
// does no I/O: the control plane passes in the observed state and executes the
// returned effects.
package orders

// Package orders decides when a recorded order is sent, sent again, resolved
// or given up, and when no copy of it can take effect any more. It does no
// I/O: control passes in what it read and carries out the effects.
package orders

// Package standin simulates the outside systems that parsleyramp works with:
// model engines, plain services, the weight store and the live list. Engines and
// services inject faults on request. Stand-ins are used by tests, the demo and
// measurements only.
package standin

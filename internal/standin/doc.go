// Package standin imitates the outside systems that parsleyramp works with:
// model engines, plain services, the weight store and the live list. Each can
// be told to fail. Stand-ins serve tests, the demo and measurements only.
package standin

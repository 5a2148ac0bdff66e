// Package evaluator benchmarks the cores and the store on one machine: placement
// decisions, the placer against simpler choosers on a simulated day, the waiting
// time under several ways to share slots, and the speed of the replicated log
// and of its files. Each measurement returns a typed result that prints as text
// or JSON.
package evaluator

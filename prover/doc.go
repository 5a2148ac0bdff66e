// Package prover holds the fault matrix as data: the steps of the four paths
// through the system, the faults, the process that each fault affects, and the
// promises. Its tests simulate a cell in memory from the cores of the packages,
// inject every fault directly after every step, and check the promises after
// every event. The page docs/faults.md is generated from the same data.
package prover

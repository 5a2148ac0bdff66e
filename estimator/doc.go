// Package estimator measures the memory, processor time and message bytes of
// each role at two cell sizes and calculates each role's cost at a given size.
package estimator

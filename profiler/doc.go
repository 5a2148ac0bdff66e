// Package profiler estimates how fast each worker is from the run times of its tasks,
// without input or output.
package profiler

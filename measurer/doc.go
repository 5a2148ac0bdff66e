// Package measurer generates load and measures response times. The percentiles of
// an open loop are corrected for coordinated omission.
package measurer

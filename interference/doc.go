// Package interference finds pairs of images that slow each other down on one worker, from the
// run times of tasks and what ran beside them. docs/design/interference.md explains the method.
// It has no input, output or clock.
package interference

// Package inspector examines a configuration of the users' platform before it is sent:
// whether the system accepts it, which of its entries have no effect, which of its limits
// contradict each other, and what it changes against the version in force. It has no input
// or output, and its findings contain neither keys nor their digests.
package inspector

// Package fake contains in-memory fakes of the systems around a controller (key-value
// store, cloud, network, machines with their workers) and invariant checkers. It is for tests
// only. All types may be used concurrently unless their comment says otherwise.
package fake

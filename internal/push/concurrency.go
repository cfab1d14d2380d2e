package push

import "math"

// Limits on concurrent calls to machines. They grow with the connection limit of the controller, so
// that calling a fleet of 4,000 machines takes no longer than calling a fleet of 800.
const (
	minBroadcastConcurrency = 4   // in a small fleet
	machinesPerBroadcast    = 32  // unreconciled machines per concurrent call
	connectionsPerBroadcast = 64  // connections of the limit per concurrent call
	minBroadcastLimit       = 24  // with a low connection limit
	maxBroadcastLimit       = 128 // with any connection limit
	connectionsPerPush      = 128 // connections of the limit per concurrent call
	minPushConcurrency      = 16
	maxPushConcurrency      = 64
)

// otherConnections is the number of connections reserved for the other controllers, the key-value
// store and the cloud.
const otherConnections = 24

// BroadcastConcurrency returns the number of machines to which the fencing token is sent
// concurrently, given the number of unreconciled machines and the connection limit of the
// controller.
func BroadcastConcurrency(unreconciled, maxConnections int) int {
	limit := min(max(maxConnections/connectionsPerBroadcast, minBroadcastLimit), maxBroadcastLimit)
	return min(max(unreconciled/machinesPerBroadcast, minBroadcastConcurrency), limit)
}

// pushConcurrency returns the number of machines to which commands are pushed concurrently.
func pushConcurrency(maxConnections int) int {
	return min(max(maxConnections/connectionsPerPush, minPushConcurrency), maxPushConcurrency)
}

// ReservedConnections returns the number of connections reserved for calls that the controller
// makes. The rest of maxConnections is for users and workers.
func ReservedConnections(maxConnections int) int {
	return otherConnections + BroadcastConcurrency(math.MaxInt32, maxConnections) + pushConcurrency(maxConnections)
}

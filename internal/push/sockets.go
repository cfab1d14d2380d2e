package push

import "math"

// Bounds on the machines that are called at once. They grow with the sockets that
// a controller has, so that calling a fleet of 4,000 takes no longer than calling one of 800.
const (
	minBroadcastCalls      = 4   // in a small fleet
	broadcastShare         = 32  // one unreconciled machine in so many is called at once
	broadcastSocketShare   = 64  // one socket in so many
	maxBroadcastCalls      = 24  // where the sockets are few
	maxBroadcastCallsLarge = 128 // however many sockets there are
	pushSocketShare        = 128
	maxPushCalls           = 16
	maxPushCallsLarge      = 64
)

// otherSockets are for links between controllers, the key-value store and the cloud.
const otherSockets = 24

// BroadcastSlots returns how many machines are sent the fencing token at once.
func BroadcastSlots(unreconciled, maxConnections int) int {
	most := min(max(maxConnections/broadcastSocketShare, maxBroadcastCalls), maxBroadcastCallsLarge)
	return min(max(unreconciled/broadcastShare, minBroadcastCalls), most)
}

// pushSlots returns how many machines are sent commands at once.
func pushSlots(maxConnections int) int {
	return min(max(maxConnections/pushSocketShare, maxPushCalls), maxPushCallsLarge)
}

// ReservedSockets returns how many sockets are kept for the controller's own calls; the others
// are for users and workers.
func ReservedSockets(maxConnections int) int {
	return otherSockets + BroadcastSlots(math.MaxInt32, maxConnections) + pushSlots(maxConnections)
}

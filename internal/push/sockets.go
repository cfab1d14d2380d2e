package push

import (
	"math"
)

// Bounds on the machines that are told something at once. They grow with the sockets that
// a node has, so that telling a fleet of 4,000 takes no longer than telling one of 800.
const (
	broadcastSocketShare   = 64
	maxBroadcastCalls      = 24
	maxBroadcastCallsLarge = 128
	pushSocketShare        = 128
	maxPushCalls           = 16
	maxPushCallsLarge      = 64
)

// BroadcastSlots is how many machines are told of the term at once.
func BroadcastSlots(unconfirmed, maxConnections int) int {
	most := min(max(maxConnections/broadcastSocketShare, maxBroadcastCalls), maxBroadcastCallsLarge)
	return min(max(unconfirmed/broadcastShare, minBroadcastCalls), most)
}

// pushSlots is how many machines are sent direct commands at once.
func pushSlots(maxConnections int) int {
	return min(max(maxConnections/pushSocketShare, maxPushCalls), maxPushCallsLarge)
}

// otherSockets are for links, the state service and the cloud.
const otherSockets = 24

// ReservedSockets are left for these and for direct commands of both sorts; the others are
// for users and workers.
func ReservedSockets(maxConnections int) int {
	return otherSockets + BroadcastSlots(math.MaxInt32, maxConnections) + pushSlots(maxConnections)
}

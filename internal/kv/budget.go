package kv

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dunestand/internal/config"
)

// Shares of the key-value store's rate limits. The leader's writes stay below half of the write
// limit (docs/design.md), and the writes of all controllers together stay within it, including
// bursts. Each controller may use most of the request limit, since most requests are the leader's.
const (
	leaderWriteShare   = 0.47
	followerWriteShare = 0.4 // divided among all followers
	requestShare       = 0.6
	minLeaderBurst     = 16 // writes, or requests of any controller
	minFollowerBurst   = 2  // writes
)

// minSpareRequests is the number of requests that must be available in the share before a request
// that can be deferred is made.
const minSpareRequests = 4

// rateBudget limits a controller to its share of the store's rates. It may be used concurrently.
type rateBudget struct {
	mu               sync.Mutex // guards the fields below
	limits           config.KVLimits
	otherControllers int // that share the limits with this one
	leading          bool
	requests         *rate.Limiter
	writes           *rate.Limiter
}

func newRateBudget(limits config.KVLimits, others int) *rateBudget {
	b := &rateBudget{limits: limits, otherControllers: others}
	b.resetLimiters()
	return b
}

// resetLimiters replaces the limiters by new ones for the current limits and role. The caller must
// hold b.mu, unless b is not shared yet.
func (b *rateBudget) resetLimiters() {
	r := b.limits.RPS * requestShare
	b.requests = rate.NewLimiter(rate.Limit(r), max(int(r/2), minLeaderBurst))
	if b.leading || b.otherControllers == 0 {
		w := b.limits.WriteRPS * leaderWriteShare
		b.writes = rate.NewLimiter(rate.Limit(w), max(int(w/2), minLeaderBurst, b.limits.TxnOps))
		return
	}
	w := b.limits.WriteRPS * followerWriteShare / float64(b.otherControllers)
	b.writes = rate.NewLimiter(rate.Limit(w), max(int(w), minFollowerBurst))
}

func (b *rateBudget) requestLimiter() *rate.Limiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests
}

func (b *rateBudget) writeLimiter() *rate.Limiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.writes
}

// SetLeader sets whether this controller has the leader's share or a follower's share.
func (c *Client) SetLeader(leading bool) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leading = leading
	b.resetLimiters()
}

// ApplyNextLimits makes the client stay within both the present limits and the next limits, if the
// settings announce any.
func (c *Client) ApplyNextLimits() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limits.Next != nil {
		b.limits = b.limits.Lowest()
		b.resetLimiters()
	}
}

// HasRequestBudget reports whether the controller's share currently allows a request that can be
// deferred.
func (c *Client) HasRequestBudget() bool {
	return c.budget.requestLimiter().TokensAt(time.Now()) > minSpareRequests
}

// ReserveWrites counts n writes that are about to be sent against the controller's share. It does
// not wait.
func (c *Client) ReserveWrites(n int) { c.budget.writeLimiter().ReserveN(time.Now(), n) }

// WritesAvailable returns the number of writes that the controller's share currently allows.
func (c *Client) WritesAvailable() int {
	return max(0, int(c.budget.writeLimiter().TokensAt(time.Now())))
}

// HasWriteBudget reports whether the controller's share currently allows background writes, which
// no caller waits for: they leave half of the burst to other writes.
func (c *Client) HasWriteBudget() bool {
	writes := c.budget.writeLimiter()
	return writes.TokensAt(time.Now()) > float64(writes.Burst())/2
}

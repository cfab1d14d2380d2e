package kv

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dunestand/internal/config"
)

// The shares of the key-value store's rates. All of the leader's writes stay below half of
// its rate (docs/design.md), and those of all controllers together within it, bursts
// included; most of the requests are the leader's.
const (
	leaderWriteShare   = 0.47
	followerWriteShare = 0.4 // of all the others together
	requestShare       = 0.6
	minLeaderBurst     = 16 // writes or requests
	minFollowerBurst   = 2  // writes
)

// spareRequests is how many requests must fit into the share before one is made that could as
// well be made later.
const spareRequests = 4

// rateBudget keeps a controller within its share of the store's rates. It may be used concurrently.
type rateBudget struct {
	mu       sync.Mutex // guards all below
	limits   config.KVLimits
	others   int // controllers beside this one
	leading  bool
	requests *rate.Limiter
	writes   *rate.Limiter
}

func newRateBudget(limits config.KVLimits, others int) *rateBudget {
	b := &rateBudget{limits: limits, others: others}
	b.resetLimiters()
	return b
}

// resetLimiters replaces the limiters by such for the present share. It needs the lock held.
func (b *rateBudget) resetLimiters() {
	r := b.limits.RPS * requestShare
	b.requests = rate.NewLimiter(rate.Limit(r), max(int(r/2), minLeaderBurst))
	if b.leading || b.others == 0 {
		w := b.limits.WriteRPS * leaderWriteShare
		b.writes = rate.NewLimiter(rate.Limit(w), max(int(w/2), minLeaderBurst, b.limits.TxnOps))
		return
	}
	w := b.limits.WriteRPS * followerWriteShare / float64(b.others)
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

// SetLeader sets whether this controller has the leader's share or that of a follower.
func (c *Client) SetLeader(leading bool) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leading = leading
	b.resetLimiters()
}

// ApplyNextLimits keeps within the announced next limits from now on.
func (c *Client) ApplyNextLimits() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limits.Next != nil {
		b.limits = b.limits.Lowest()
		b.resetLimiters()
	}
}

// HasRequestBudget reports whether a request that could as well be made later fits into
// the controller's share now.
func (c *Client) HasRequestBudget() bool {
	return c.budget.requestLimiter().TokensAt(time.Now()) > spareRequests
}

// ReserveWrites counts writes that are about to be sent against the controller's share.
func (c *Client) ReserveWrites(n int) { c.budget.writeLimiter().ReserveN(time.Now(), n) }

// WritesAvailable returns how many writes fit into the controller's share now.
func (c *Client) WritesAvailable() int {
	return max(0, int(c.budget.writeLimiter().TokensAt(time.Now())))
}

// HasWriteBudget reports whether there is budget for writes that nobody waits for.
func (c *Client) HasWriteBudget() bool {
	writes := c.budget.writeLimiter()
	return writes.TokensAt(time.Now()) > float64(writes.Burst())/2
}

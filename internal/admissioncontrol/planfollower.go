package admissioncontrol

import (
	"context"

	"dunestand/internal/admission"
	"dunestand/internal/kv"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

const (
	planWatchTimeout       = 2 * units.Second // how long a watch of the plan's record stays open
	followRetryDelay       = units.Second
	activationPollInterval = units.Second
)

// Follow keeps the controller's plan up to date until ctx ends. It waits until every controller
// has admission by a plan enabled. It returns at once on a nil Admitter.
func (a *Admitter) Follow(ctx context.Context) {
	if a == nil || !a.waitActive(ctx) {
		return
	}
	follower := NewPlanFollower(a)
	for ctx.Err() == nil {
		if err := follower.Step(ctx); err != nil {
			a.log.Debug("admission plan not followed", "error", err)
			if !loop.Sleep(ctx, followRetryDelay) {
				return
			}
		}
	}
}

// waitActive waits until the fleet's format allows admission by a plan. It reports whether it
// does; false means that ctx ended first.
func (a *Admitter) waitActive(ctx context.Context) bool {
	if !a.active() {
		a.log.Info("admission by plan waits until every controller has it enabled")
	}
	for !a.active() {
		if !loop.Sleep(ctx, activationPollInterval) {
			return false
		}
	}
	a.log.Info("admission by plan active", "horizon_s", a.options.Horizon.Seconds())
	return true
}

// PlanFollower follows the plan's record by a watch and keeps an Admitter's plan up to date.
// Only one goroutine may use it.
type PlanFollower struct {
	admitter *Admitter
	revision uint64       // up to which changes are known; 0: the record has to be read
	asOf     units.Micros // no change that is unknown was made before this steady time
	hasRead  bool         // asOf is valid
}

// NewPlanFollower returns a follower that has read nothing yet.
func NewPlanFollower(a *Admitter) *PlanFollower { return &PlanFollower{admitter: a} }

// Step reads the record, or waits for its next change for up to planWatchTimeout. After an
// error the next step reads the record again.
func (f *PlanFollower) Step(ctx context.Context) error {
	sentAt := f.admitter.clock.Steady()
	if f.revision == 0 {
		return f.read(ctx, sentAt)
	}
	list, err := f.admitter.client.Watch(ctx, admission.KeyPrefix, f.revision, planWatchTimeout)
	if err != nil {
		f.revision = 0
		return err
	}
	for _, change := range list.Changes {
		switch {
		case change.Delete == admission.KeyPlan:
			f.admitter.planStore.Clear(change.Version)
		case change.Set == admission.KeyPlan:
			f.update(protocol.Item{Key: change.Set, Value: change.Value, Version: change.Version}, list.Revision)
		}
	}
	f.revision, f.asOf = max(list.Revision, f.revision), sentAt
	return nil
}

// read reads the record; the request is sent at sentAt.
func (f *PlanFollower) read(ctx context.Context, sentAt units.Micros) error {
	item, revision, err := f.admitter.client.ReadAtRevision(ctx, admission.KeyPlan, kv.CallTimeout)
	if err != nil {
		return err
	}
	f.update(item, revision)
	f.revision, f.asOf, f.hasRead = revision, sentAt, true
	return nil
}

// update passes a record on to the admitter. How old the record is at most follows from when an
// earlier look did not show it yet.
func (f *PlanFollower) update(item protocol.Item, revision uint64) {
	a := f.admitter
	if item.Version == 0 {
		a.planStore.Clear(revision)
		return
	}
	after := f.asOf
	if !f.hasRead {
		after = a.clock.Steady() - admission.PlanLifetime // it may be of any age
	}
	a.adopt(item, after, a.clock.Steady())
}

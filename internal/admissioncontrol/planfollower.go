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

// Follow keeps the controller's plan up to date until ctx ends. It starts once every controller
// has admission by a plan enabled. On a nil Admitter it returns at once.
func (a *Admitter) Follow(ctx context.Context) {
	if a == nil || !a.waitActive(ctx) {
		return
	}
	follower := NewPlanFollower(a)
	for ctx.Err() == nil {
		if err := follower.Step(ctx); err != nil {
			a.log.Debug("failed to follow the admission plan; retrying", "error", err)
			if !loop.Sleep(ctx, followRetryDelay) {
				return
			}
		}
	}
}

// waitActive waits until the fleet's record format allows admission by a plan. It returns false if
// ctx ends first.
func (a *Admitter) waitActive(ctx context.Context) bool {
	if !a.active() {
		a.log.Info("waiting until every controller has admission by plan enabled")
	}
	for !a.active() {
		if !loop.Sleep(ctx, activationPollInterval) {
			return false
		}
	}
	a.log.Info("admission by plan active", "horizon_s", a.options.Horizon.Seconds())
	return true
}

// PlanFollower watches the plan's record and keeps the plan of an Admitter up to date. It is not
// safe for concurrent use.
type PlanFollower struct {
	admitter  *Admitter
	revision  uint64       // changes up to this revision are known; 0: the record must be read
	asOf      units.Micros // changes up to this steady time are known
	asOfKnown bool         // asOf is valid
}

// NewPlanFollower returns a follower that has not read the record yet.
func NewPlanFollower(a *Admitter) *PlanFollower { return &PlanFollower{admitter: a} }

// Step reads the record in the first call and after an error. Otherwise it waits for changes of
// the record, up to planWatchTimeout.
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

// read reads the record by a request that is sent at sentAt.
func (f *PlanFollower) read(ctx context.Context, sentAt units.Micros) error {
	item, revision, err := f.admitter.client.ReadAtRevision(ctx, admission.KeyPlan, kv.CallTimeout)
	if err != nil {
		return err
	}
	f.update(item, revision)
	f.revision, f.asOf, f.asOfKnown = revision, sentAt, true
	return nil
}

// update passes an item of the record to the admitter. The item was written after asOf, the time
// of the last request whose response did not include it.
func (f *PlanFollower) update(item protocol.Item, revision uint64) {
	a := f.admitter
	if item.Version == 0 {
		a.planStore.Clear(revision)
		return
	}
	after := f.asOf
	if !f.asOfKnown {
		after = a.clock.Steady() - admission.PlanLifetime // the plan may be of any age
	}
	a.applyItem(item, after, a.clock.Steady())
}

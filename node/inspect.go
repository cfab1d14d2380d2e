package node

import (
	"context"
	"errors"
	"fmt"

	"dunestand/internal/admission"
	"dunestand/internal/config"
	"dunestand/internal/kv"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// AdmissionPlan says which jobs are admitted under overload. Its Decide is a pure function
// of the plan and a job.
type AdmissionPlan = admission.Plan

// ErrNoPlan says that the state service holds no admission plan.
var ErrNoPlan = errors.New("no admission plan is stored: admission by a plan is off, or nobody leads yet")

// inspectCall bounds the read of a record for a person who waits.
const inspectCall = 3 * units.Second

// ReadAdmissionPlan reads the plan that a fleet's controllers go by. It needs the state
// service alone, no controller. dial opens connections; nil: by the machine's own network.
func ReadAdmissionPlan(ctx context.Context, s *config.Settings, dial transport.DialFunc) (*AdmissionPlan, error) {
	store := kv.NewClient(dial, s.Services.State, s.Fleet.State, len(s.Others), units.NewSystemClock())
	item, _, err := store.ReadAtRevision(ctx, admission.KeyPlan, inspectCall)
	if err != nil {
		return nil, fmt.Errorf("state service %s: %w", s.Services.State, err)
	}
	if item.Version == 0 {
		return nil, ErrNoPlan
	}
	return admission.Decode(item.Value)
}

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

// AdmissionPlan decides which jobs are admitted under overload. It is immutable. The result of its
// Decide method depends only on the plan and the job.
type AdmissionPlan = admission.Plan

// ErrNoPlan is returned by ReadAdmissionPlan if the key-value store holds no admission plan.
var ErrNoPlan = errors.New("no admission plan is stored: the admission plan is disabled, or no leader has been elected yet")

// inspectTimeout limits how long an operator waits for a record to be read.
const inspectTimeout = 3 * units.Second

// ReadAdmissionPlan reads the plan that the controllers of a fleet use, from the key-value store
// named in the settings. No controller has to be running. The read times out after 3 s. dial opens
// connections; nil: the system's network. The error is ErrNoPlan if no plan is stored, otherwise
// an error of the store with its address or an error in decoding the plan.
func ReadAdmissionPlan(ctx context.Context, s *config.Settings, dial transport.DialFunc) (*AdmissionPlan, error) {
	store := kv.NewClient(dial, s.Services.KVStore, s.Fleet.KVLimits, len(s.Peers), units.NewSystemClock())
	item, _, err := store.ReadAtRevision(ctx, admission.KeyPlan, inspectTimeout)
	if err != nil {
		return nil, fmt.Errorf("state service %s: %w", s.Services.KVStore, err)
	}
	if item.Version == 0 {
		return nil, ErrNoPlan
	}
	return admission.Decode(item.Value)
}

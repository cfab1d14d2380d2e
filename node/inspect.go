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

// AdmissionPlan decides which jobs are admitted under overload. Its Decide method depends on
// nothing but the plan and the job. It is immutable.
type AdmissionPlan = admission.Plan

// ErrNoPlan is returned by ReadAdmissionPlan if the key-value store holds no admission plan.
var ErrNoPlan = errors.New("no admission plan is stored: admission by a plan is off, or nobody leads yet")

// inspectTimeout bounds the read of a record for a person who waits.
const inspectTimeout = 3 * units.Second

// ReadAdmissionPlan reads the plan that a fleet's controllers use, from the key-value store
// named in the settings; no controller need run. It waits 3 s for a response. dial opens connections;
// nil: the system's network. The error is ErrNoPlan, that of the store with its address, or
// that of a plan that cannot be decoded.
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

package persister

import (
	"context"
	"errors"
	"fmt"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/sorted"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// UnreadableAbstention is the time for which a controller that cannot read the records does not
// campaign, so that another controller can take the lease.
const UnreadableAbstention = 30 * units.Second

// Restore claims the buckets, reads the records and installs them in the state. It reports whether
// it succeeded; if not, the caller must retry unless the leadership is lost. It must not be called
// again after it has succeeded. It must be called without the state lock, and not concurrently.
func (p *Persister) Restore(ctx context.Context) bool {
	if err := p.claimBuckets(ctx); err != nil {
		p.Log.Info("failed to claim the buckets", "error", err)
		return false
	}
	if err := p.Format.Refresh(ctx); err != nil {
		p.Log.Info("failed to read the fleet record format", "error", err)
		return false
	}
	if p.Format.TooNew() {
		p.Leadership.Abstain(UnreadableAbstention)
		return false
	}
	jobs, orphans, revision, err := p.readJobs(ctx)
	if errors.Is(err, errJobsUnreadable) {
		// A leader that skipped such a job would lose it. A controller of another version may be
		// able to read the record; if none is, there is no leader until an operator intervenes.
		p.Log.Error("records not readable; abstaining from leadership", "error", err)
		p.Leadership.Abstain(UnreadableAbstention)
		return false
	}
	if err != nil {
		p.Log.Info("failed to read the job records", "error", err)
		return false
	}
	catalog, stored, err := p.readStoredCatalog(ctx)
	if err != nil {
		p.Log.Info("failed to read the stored catalog", "error", err)
		return false
	}
	p.State.Lock()
	defer p.State.Unlock()
	p.OnCatalog(stored)
	for _, id := range sorted.Keys(orphans) {
		p.State.AddStaleRecords(id, orphans[id])
	}
	p.InstallRecords(jobs, catalog)
	p.Log.Info("records restored", "jobs", len(jobs), "revision", revision,
		"unreconciled_machines", p.State.Unreconciled.Len(), "unreconciled_jobs", p.State.Unreconciled.JobCount(),
		"took_ms", (p.Clock.Steady()-p.ElectedAt)/units.Millisecond)
	return true
}

// readJobs returns all live jobs; orphans, the keys of remaining records of finished jobs, by job
// ID; and the revision of the store at the start of the read. It fails with errJobsUnreadable if
// the records of a job cannot be used.
func (p *Persister) readJobs(ctx context.Context) (jobs []*cluster.Job, orphans map[string][]string, revision uint64, err error) {
	items, revision, err := p.KV.ListAll(ctx, storage.PrefixJobs)
	if err != nil {
		return nil, nil, 0, err
	}
	jobs, orphans, err = cluster.ParseJobs(items)
	if err != nil {
		return nil, nil, 0, fmt.Errorf("%w: %w", errJobsUnreadable, err)
	}
	for _, id := range sorted.Keys(orphans) {
		_, finished, err := p.Terminals.read(ctx, id)
		if err != nil {
			return nil, nil, 0, err
		}
		if !finished {
			return nil, nil, 0, fmt.Errorf("%w: %w", errJobsUnreadable, &storage.RecordError{Key: orphans[id][0], Err: errNoSuchJob})
		}
	}
	return jobs, orphans, revision, nil
}

// readStoredCatalog reads the catalog that a former leader stored, and the versions of its records
// by key. A record that cannot be decoded is logged and omitted from the catalog.
func (p *Persister) readStoredCatalog(ctx context.Context) (protocol.Catalog, map[string]uint64, error) {
	items, _, err := p.KV.ListAll(ctx, storage.KeyCatalog)
	if err != nil {
		return protocol.Catalog{}, nil, err
	}
	catalog, stored, err := storage.ParseCatalog(items)
	if err != nil {
		p.Log.Error("stored catalog not readable", "error", err)
	}
	return catalog, stored, nil
}

// InstallRecords adds the restored jobs and the catalog to the state, and marks it as restored. It
// must be called once. The caller must hold the state lock.
func (p *Persister) InstallRecords(jobs []*cluster.Job, catalog protocol.Catalog) {
	now, wall := p.Clock.Steady(), p.Clock.Wall()
	p.State.SetInstanceTypes(catalog.Types)
	p.State.UpgradeFormat(p.Format.Current(), now)
	for _, j := range jobs {
		j.LearnedFromRecords(wall, now, p.Settings.Fleet.TimeBound())
		p.State.AddJob(j)
	}
	p.State.Restored = true
	close(p.restored)
	p.CycleSignal.Raise()
}

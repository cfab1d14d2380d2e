package persister

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"dunestand/internal/cluster"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/sorted"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Restore claims the buckets and reads their jobs. It tells whether it could; if not, it
// is to be tried again.
func (p *Persister) Restore(ctx context.Context) bool {
	if err := p.claimBuckets(ctx); err != nil {
		p.Log.Info("buckets not claimed yet", "error", err)
		return false
	}
	if err := p.Format.Refresh(ctx); err != nil {
		p.Log.Info("the fleet's format is not read yet", "error", err)
		return false
	}
	if p.Format.TooNew() {
		p.Leadership.Abstain(UnreadableAbstention)
		return false
	}
	jobs, orphans, err := p.readJobs(ctx)
	if errors.Is(err, errUnreadableRecord) {
		// Leader without such a job would forget it. Another node may be of a
		// version that reads it; if none is, nobody leads until an operator has
		// looked.
		p.Log.Error("records are not readable; nothing is placed, and this node stands back", "error", err)
		p.Leadership.Abstain(UnreadableAbstention)
		return false
	}
	if err != nil {
		p.Log.Info("records not read yet", "error", err)
		return false
	}
	catalog, stored, err := p.readStoredCatalog(ctx)
	if err != nil {
		p.Log.Info("records not read yet", "error", err)
		return false
	}
	p.State.Lock()
	defer p.State.Unlock()
	p.OnCatalog(stored)
	for _, id := range sorted.Keys(orphans) {
		p.State.AddStaleRecords(id, orphans[id])
	}
	p.InstallRecords(jobs, catalog)
	return true
}

// errUnreadableRecord says that a record cannot be read by this version.
var errUnreadableRecord = errors.New("unreadable")

// readJobs reads all live jobs, and what is left over of jobs that are over, by job.
func (p *Persister) readJobs(ctx context.Context) (jobs []*cluster.Job, orphans map[string][]string, err error) {
	rows, _, err := p.KV.ListAll(ctx, storage.PrefixJobs)
	if err != nil {
		return nil, nil, err
	}
	jobs, orphans, err = cluster.ParseJobs(rows)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errUnreadableRecord, err)
	}
	for _, id := range sorted.Keys(orphans) {
		_, over, err := p.Terminals.readTerminal(ctx, id)
		if err != nil {
			return nil, nil, err
		}
		if !over {
			return nil, nil, fmt.Errorf("%w: record %s: belongs to no job", errUnreadableRecord, orphans[id][0])
		}
	}
	return jobs, orphans, nil
}

// readStoredCatalog reads the catalog that a former leader stored, and the versions of its
// records. One that cannot be read is logged, and stands for none.
func (p *Persister) readStoredCatalog(ctx context.Context) (protocol.Catalog, map[string]uint64, error) {
	list, _, err := p.KV.ListAll(ctx, storage.KeyCatalog)
	if err != nil {
		return protocol.Catalog{}, nil, err
	}
	catalog, stored, err := storage.ParseCatalog(list)
	if err != nil {
		p.Log.Error("stored catalog is not readable", "error", err)
	}
	return catalog, stored, nil
}

// UnreadableAbstention is for how long a node that could not read the records leaves the
// lease to others.
const UnreadableAbstention = 30 * units.Second

// InstallRecords takes over what the records say.
func (p *Persister) InstallRecords(jobs []*cluster.Job, catalog protocol.Catalog) {
	now := p.Clock.Steady()
	p.State.SetInstanceTypes(catalog.Types)
	p.State.UpgradeFormat(p.Format.Current(), now)
	for _, j := range jobs {
		j.LearnedAt = now
		p.State.AddJob(j)
	}
	p.State.Restored = true
	close(p.restored)
	p.Log.Info("records restored", "jobs", len(jobs), "unconfirmed_machines", p.State.Unreconciled.Len(), "took_ms", (now-p.ElectedAt)/units.Millisecond)
	p.CycleSignal.Raise()
}

// claimBuckets raises every bucket's incarnation, a transaction's worth at a
// time: from then on, saves of a former leader that are still on their way
// fail.
func (p *Persister) claimBuckets(ctx context.Context) error {
	items, _, err := p.KV.ListAll(ctx, storage.PrefixBucketHeads)
	if err != nil {
		return err
	}
	byKey := map[string]protocol.Item{}
	for _, i := range items {
		byKey[i.Key] = i
	}
	save := p.NextWriteID()
	var txn protocol.Txn
	var claiming []int
	for b := range storage.Buckets {
		key := storage.KeyBucketHead(b)
		var head storage.LeaseRecord
		item, ok := byKey[key]
		if ok {
			if err := protocol.Decode(item.Value, &head); err != nil {
				return fmt.Errorf("record %s: %w", key, err)
			}
		}
		if ok && p.isOwn(head) {
			p.bucketVersions[b] = item.Version // by an earlier try that got no answer
			continue
		}
		head = storage.LeaseRecord{Holder: p.Settings.Node, Incarnation: head.Incarnation + 1, WriteID: save}
		txn.If = append(txn.If, protocol.Condition{Key: key, Version: item.Version})
		txn.Then = append(txn.Then, protocol.Change{Set: key, Value: protocol.Encode(head)})
		claiming = append(claiming, b)
	}
	step := p.Settings.Fleet.State.Both().TxnOps
	for from := 0; from < len(claiming); from += step {
		to := min(from+step, len(claiming))
		version, err := p.KV.CompareAndSwap(ctx, protocol.Txn{
			If:   txn.If[from:to],
			Then: txn.Then[from:to],
		}, kv.Urgent, kv.CallTimeout)
		if err != nil {
			return err // tried again, with the versions then read
		}
		for _, b := range claiming[from:to] {
			p.bucketVersions[b] = version
		}
	}
	return nil
}

// isOwnWrite tells whether a bucket's head was claimed in this very term.
func (p *Persister) isOwn(head storage.LeaseRecord) bool {
	return head.Holder == p.Settings.Node && strings.HasPrefix(head.WriteID, fmt.Sprintf("%d-", p.Token))
}

package coordination

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"dunestand/internal/cluster"
	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// restore claims the buckets and reads their jobs. It tells whether it could; if not, it
// is to be tried again.
func (t *Term) restore(ctx context.Context) bool {
	if err := t.claimBuckets(ctx); err != nil {
		t.Log.Info("buckets not claimed yet", "error", err)
		return false
	}
	if err := t.Format.Read(ctx); err != nil {
		t.Log.Info("the fleet's format is not read yet", "error", err)
		return false
	}
	if t.Format.Newer() {
		t.Lease.StandBack(standBack)
		return false
	}
	jobs, orphans, err := t.readJobs(ctx)
	if errors.Is(err, errUnreadable) {
		// Leading without such a job would forget it. Another node may be of a
		// version that reads it; if none is, nobody leads until an operator has
		// looked.
		t.Log.Error("records are not readable; nothing is placed, and this node stands back", "error", err)
		t.Lease.StandBack(standBack)
		return false
	}
	if err != nil {
		t.Log.Info("records not read yet", "error", err)
		return false
	}
	catalog, stored, err := t.readStoredCatalog(ctx)
	if err != nil {
		t.Log.Info("records not read yet", "error", err)
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.provisioning.catalogStored = stored
	for _, id := range sortedKeys(orphans) {
		t.ledger.AddStaleRecords(id, orphans[id])
	}
	t.install(jobs, catalog)
	return true
}

// errUnreadable says that a record cannot be read by this version.
var errUnreadable = errors.New("unreadable")

// readJobs reads all live jobs, and what is left over of jobs that are over, by job.
func (t *Term) readJobs(ctx context.Context) (jobs []*cluster.Job, orphans map[string][]string, err error) {
	rows, _, err := listAll(ctx, t.Store, storage.PrefixJobs)
	if err != nil {
		return nil, nil, err
	}
	jobs, orphans, err = cluster.ParseJobs(rows)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	for _, id := range sortedKeys(orphans) {
		_, over, err := t.readFinal(ctx, id)
		if err != nil {
			return nil, nil, err
		}
		if !over {
			return nil, nil, fmt.Errorf("%w: record %s: belongs to no job", errUnreadable, orphans[id][0])
		}
	}
	return jobs, orphans, nil
}

// readStoredCatalog reads the catalog that a former leader stored, and the versions of its
// records. One that cannot be read is logged, and stands for none.
func (t *Term) readStoredCatalog(ctx context.Context) (protocol.Catalog, map[string]uint64, error) {
	list, _, err := listAll(ctx, t.Store, storage.KeyCatalog)
	if err != nil {
		return protocol.Catalog{}, nil, err
	}
	catalog, stored, err := storage.ParseCatalog(list)
	if err != nil {
		t.Log.Error("stored catalog is not readable", "error", err)
	}
	return catalog, stored, nil
}

// standBack is for how long a node that could not read the records leaves the
// lease to others.
const standBack = 30 * units.Second

// install takes over what the records say.
func (t *Term) install(jobs []*cluster.Job, catalog protocol.Catalog) {
	now := t.Clock.Steady()
	t.ledger.SetInstanceTypes(catalog.Types)
	t.ledger.UpgradeFormat(t.Format.Level(), now)
	for _, j := range jobs {
		j.LearnedAt = now
		t.ledger.AddJob(j)
	}
	t.ready = true
	close(t.restored)
	t.Log.Info("records restored", "jobs", len(jobs), "unconfirmed_machines", t.ledger.UnreconciledCount(), "took_ms", (now-t.claimedAt)/units.Millisecond)
	signal(t.roundSignal)
}

// claimBuckets raises every bucket's incarnation, a transaction's worth at a
// time: from then on, saves of a former leader that are still on their way
// fail.
func (t *Term) claimBuckets(ctx context.Context) error {
	items, _, err := listAll(ctx, t.Store, storage.PrefixBucketHeads)
	if err != nil {
		return err
	}
	byKey := map[string]protocol.Item{}
	for _, i := range items {
		byKey[i.Key] = i
	}
	save := t.saveID()
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
		if ok && t.isOwn(head) {
			t.bucketVersions[b] = item.Version // by an earlier try that got no answer
			continue
		}
		head = storage.LeaseRecord{Holder: t.Settings.Node, Incarnation: head.Incarnation + 1, WriteID: save}
		txn.If = append(txn.If, protocol.Condition{Key: key, Version: item.Version})
		txn.Then = append(txn.Then, protocol.Change{Set: key, Value: protocol.Encode(head)})
		claiming = append(claiming, b)
	}
	step := t.Settings.Fleet.State.Both().TxnOps
	for from := 0; from < len(claiming); from += step {
		to := min(from+step, len(claiming))
		version, err := t.Store.CompareAndSwap(ctx, protocol.Txn{
			If:   txn.If[from:to],
			Then: txn.Then[from:to],
		}, kv.Urgent, stateCall)
		if err != nil {
			return err // tried again, with the versions then read
		}
		for _, b := range claiming[from:to] {
			t.bucketVersions[b] = version
		}
	}
	return nil
}

// isOwn tells whether a bucket's head was claimed in this very term.
func (t *Term) isOwn(head storage.LeaseRecord) bool {
	return head.Holder == t.Settings.Node && strings.HasPrefix(head.WriteID, fmt.Sprintf("%d-", t.number))
}

// listCall bounds the read of one page of a list.
const listCall = 3 * units.Second

// listAll reads all records whose keys have a prefix, and gives the revision from which on
// changes are not in it.
func listAll(ctx context.Context, store *kv.Client, prefix string) (all []protocol.Item, revision uint64, err error) {
	from := ""
	for {
		page, err := store.List(ctx, prefix, from, listCall)
		if err != nil {
			return nil, 0, err
		}
		if from == "" {
			revision = page.Revision
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return all, revision, nil
		}
		from = page.Items[len(page.Items)-1].Key
	}
}

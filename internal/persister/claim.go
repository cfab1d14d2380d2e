package persister

import (
	"context"
	"fmt"
	"strings"

	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// bucketClaim is the write that claims one bucket.
type bucketClaim struct {
	bucket    int
	condition protocol.Condition
	change    protocol.Change
}

// claimBuckets raises every bucket's incarnation, a transaction's worth at a time: from then on,
// batches of a former leader that are still on their way fail. What an error leaves unclaimed
// is claimed by the next call. It runs before anything else uses the versions, without the lock.
func (p *Persister) claimBuckets(ctx context.Context) error {
	items, _, err := p.KV.ListAll(ctx, storage.PrefixBucketHeads)
	if err != nil {
		return err
	}
	claims, err := p.missingClaims(items)
	if err != nil {
		return err
	}
	maxChanges := p.Settings.Fleet.KVLimits.Lowest().TxnOps
	for from := 0; from < len(claims); from += maxChanges {
		to := min(from+maxChanges, len(claims))
		if err := p.commitClaims(ctx, claims[from:to]); err != nil {
			return err // tried again, with the versions then read
		}
	}
	return nil
}

// missingClaims returns the claims of the buckets that this leader does not hold yet by the
// heads that were read.
func (p *Persister) missingClaims(heads []protocol.Item) ([]bucketClaim, error) {
	byKey := map[string]protocol.Item{}
	for _, item := range heads {
		byKey[item.Key] = item
	}
	writeID := p.NextWriteID()
	var claims []bucketClaim
	for bucket := range storage.Buckets {
		key := storage.KeyBucketHead(bucket)
		var head storage.LeaseRecord
		item, ok := byKey[key]
		if ok {
			if err := protocol.Decode(item.Value, &head); err != nil {
				return nil, &storage.RecordError{Key: key, Err: err}
			}
		}
		if ok && p.isOwnClaim(head) {
			p.bucketVersions[bucket] = item.Version // by an earlier try that got no answer
			continue
		}
		head = storage.LeaseRecord{Holder: p.Settings.Name, Incarnation: head.Incarnation + 1, WriteID: writeID}
		claims = append(claims, bucketClaim{
			bucket:    bucket,
			condition: protocol.Condition{Key: key, Version: item.Version},
			change:    protocol.Change{Set: key, Value: protocol.Encode(head)},
		})
	}
	return claims, nil
}

// commitClaims writes some claims as one transaction.
func (p *Persister) commitClaims(ctx context.Context, claims []bucketClaim) error {
	var txn protocol.Txn
	for _, claim := range claims {
		txn.If = append(txn.If, claim.condition)
		txn.Then = append(txn.Then, claim.change)
	}
	version, err := p.KV.CompareAndSwap(ctx, txn, kv.Urgent, kv.CallTimeout)
	if err != nil {
		return err
	}
	for _, claim := range claims {
		p.bucketVersions[claim.bucket] = version
	}
	return nil
}

// isOwnClaim reports whether a bucket's head was written by this very leader, not by a former
// process or an earlier leadership of the same controller.
func (p *Persister) isOwnClaim(head storage.LeaseRecord) bool {
	return head.Holder == p.Settings.Name && strings.HasPrefix(head.WriteID, fmt.Sprintf("%d-", p.Token))
}

package persister

import (
	"context"
	"fmt"
	"strings"

	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// bucketClaim is the conditional write of a bucket's head that claims the bucket.
type bucketClaim struct {
	bucket    int
	condition protocol.Condition
	change    protocol.Change
}

// claimBuckets raises the incarnation of every bucket, in as many transactions as the limits
// require. Batches of a former leader that arrive later fail. After an error, the next call claims
// the remaining buckets. It accesses bucketVersions without the state lock, so it must return before
// any other method uses them.
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
			return err // the next call reads the versions again
		}
	}
	return nil
}

// missingClaims returns the claims of the buckets that, according to the given heads, this leader
// has not claimed yet. It fails with a *storage.RecordError if a head cannot be decoded.
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
			p.bucketVersions[bucket] = item.Version // claimed by an earlier request that got no response
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

// commitClaims commits the claims in one transaction and stores the new versions of the heads.
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

// isOwnClaim reports whether a bucket's head was written in the present leadership, as opposed to
// an earlier leadership of the same controller, which may have restarted since.
func (p *Persister) isOwnClaim(head storage.LeaseRecord) bool {
	return head.Holder == p.Settings.Name && strings.HasPrefix(head.WriteID, fmt.Sprintf("%d-", p.Token))
}

package coordination

import (
	"context"
	"fmt"
	"slices"

	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

func (t *Term) readCatalog(ctx context.Context) {
	c, err := t.Cloud.Catalog(ctx)
	if err != nil || len(c.Types) == 0 {
		t.Log.Info("catalog not read", "error", err)
		return
	}
	t.mu.Lock()
	t.ledger.SetInstanceTypes(c.Types)
	changed := !sameTypes(c, t.provisioning.catalog)
	t.provisioning.catalog, t.provisioning.catalogAt = c, t.Clock.Steady()
	t.mu.Unlock()
	signal(t.roundSignal)
	if format := t.Format.Level(); changed || format != t.provisioning.catalogFormat {
		t.storeCatalog(ctx, c, format)
	}
}

// storeCatalog keeps the catalog for a leader that begins during an outage of
// the cloud. Whether it succeeds matters to nobody now.
func (t *Term) storeCatalog(ctx context.Context, c protocol.Catalog, format int) {
	state := t.Settings.Fleet.State.Both()
	versions := t.provisioning.catalogStored
	for changes := range slices.Chunk(storage.CatalogChanges(c.Types, format, state.ValueBytes(), versions), state.TxnOps) {
		txn := protocol.Txn{Then: changes}
		for _, ch := range changes {
			key := ch.Set + ch.Delete // one of them
			txn.If = append(txn.If, protocol.Condition{Key: key, Version: versions[key]})
		}
		version, err := t.Store.CompareAndSwap(ctx, txn, kv.Paced, stateCall)
		if err != nil {
			t.Log.Info("catalog not stored", "error", err)
			return
		}
		for _, ch := range changes {
			if ch.Set != "" {
				versions[ch.Set] = version
			} else {
				delete(versions, ch.Delete)
			}
		}
	}
	t.provisioning.catalogFormat = format
}

// sameTypes compares catalogs but for the spot prices, which move all the time.
func sameTypes(a, b protocol.Catalog) bool {
	return slices.EqualFunc(a.Types, b.Types, func(x, y protocol.InstanceType) bool {
		x.SpotPrice, y.SpotPrice = 0, 0
		zones := slices.Equal(x.Zones, y.Zones)
		x.Zones, y.Zones = nil, nil
		return zones && fmt.Sprint(x) == fmt.Sprint(y)
	})
}

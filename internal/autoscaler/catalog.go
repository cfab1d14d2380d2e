package autoscaler

import (
	"context"
	"fmt"
	"slices"

	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

func (as *Autoscaler) refreshCatalog(ctx context.Context) {
	c, err := as.Cloud.Catalog(ctx)
	if err != nil || len(c.Types) == 0 {
		as.Log.Info("catalog not read", "error", err)
		return
	}
	as.State.Lock()
	as.State.SetInstanceTypes(c.Types)
	changed := !sameTypes(c, as.provisioning.catalog)
	as.provisioning.catalog, as.provisioning.catalogReadAt = c, as.Clock.Steady()
	as.State.Unlock()
	as.CycleSignal.Raise()
	if format := as.Format.Current(); changed || format != as.provisioning.catalogFormat {
		as.storeCatalog(ctx, c, format)
	}
}

// storeCatalog keeps the catalog for a leader that begins during an outage of
// the cloud. Whether it succeeds matters to nobody now.
func (as *Autoscaler) storeCatalog(ctx context.Context, c protocol.Catalog, format storage.Format) {
	state := as.Settings.Fleet.State.Both()
	versions := as.provisioning.catalogStored
	for changes := range slices.Chunk(storage.CatalogChanges(c.Types, format, state.ValueBytes(), versions), state.TxnOps) {
		txn := protocol.Txn{Then: changes}
		for _, ch := range changes {
			key := ch.Set + ch.Delete // one of them
			txn.If = append(txn.If, protocol.Condition{Key: key, Version: versions[key]})
		}
		version, err := as.KV.CompareAndSwap(ctx, txn, kv.Paced, kv.CallTimeout)
		if err != nil {
			as.Log.Info("catalog not stored", "error", err)
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
	as.provisioning.catalogFormat = format
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

// CatalogRestored tells which records hold the stored catalog, by key, with their versions. It
// needs the lock of state held.
func (as *Autoscaler) CatalogRestored(versions map[string]uint64) {
	as.provisioning.catalogStored = versions
}

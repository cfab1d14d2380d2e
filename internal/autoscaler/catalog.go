package autoscaler

import (
	"context"
	"fmt"
	"slices"

	"dunestand/internal/kv"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
)

// refreshCatalog reads the cloud's catalog of instance types, applies it to the state, and
// stores it if it has changed.
func (as *Autoscaler) refreshCatalog(ctx context.Context) {
	catalog, err := as.Cloud.Catalog(ctx)
	if err != nil || len(catalog.Types) == 0 {
		as.Log.Info("failed to read the instance type catalog, or it is empty", "error", err)
		return
	}
	as.State.Lock()
	as.State.SetInstanceTypes(catalog.Types)
	changed := !equalInstanceTypes(catalog, as.provisioning.catalog)
	as.provisioning.catalog, as.provisioning.catalogReadAt = catalog, as.Clock.Steady()
	as.State.Unlock()
	as.CycleSignal.Raise()
	if format := as.Format.Current(); changed || format != as.provisioning.catalogFormat {
		as.storeCatalog(ctx, catalog, format)
	}
}

// storeCatalog stores the catalog for a leader that is elected during an outage of the cloud.
// Errors are only logged, since this leader does not need the stored catalog.
func (as *Autoscaler) storeCatalog(ctx context.Context, catalog protocol.Catalog, format storage.Format) {
	bounds := as.Settings.Fleet.KVLimits.Lowest()
	versions := as.provisioning.catalogStored
	changes := storage.CatalogChanges(catalog.Types, format, bounds.ValueBytes(), versions)
	for part := range slices.Chunk(changes, bounds.TxnOps) {
		txn := protocol.Txn{Then: part}
		for _, change := range part {
			key := change.Set + change.Delete // the other is empty
			txn.If = append(txn.If, protocol.Condition{Key: key, Version: versions[key]})
		}
		version, err := as.KV.CompareAndSwap(ctx, txn, kv.Paced, kv.CallTimeout)
		if err != nil {
			as.Log.Info("failed to store the instance type catalog", "error", err)
			return
		}
		for _, change := range part {
			if change.Set != "" {
				versions[change.Set] = version
			} else {
				delete(versions, change.Delete)
			}
		}
	}
	as.provisioning.catalogFormat = format
}

// equalInstanceTypes reports whether two catalogs are equal, without regard to spot prices,
// which change continuously.
func equalInstanceTypes(a, b protocol.Catalog) bool {
	return slices.EqualFunc(a.Types, b.Types, func(x, y protocol.InstanceType) bool {
		x.SpotPrice, y.SpotPrice = 0, 0
		zones := slices.Equal(x.Zones, y.Zones)
		x.Zones, y.Zones = nil, nil
		return zones && fmt.Sprint(x) == fmt.Sprint(y)
	})
}

// CatalogRestored sets the versions of the records that hold the stored catalog, by key. It must
// be called before Run, with the lock of State held. The Autoscaler takes ownership of the map.
func (as *Autoscaler) CatalogRestored(versions map[string]uint64) {
	as.provisioning.catalogStored = versions
}

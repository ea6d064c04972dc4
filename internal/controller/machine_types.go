package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
)

// catalogKey holds the last known machine types, for a node that starts while
// the cloud does not answer. Where they do not fit into one value, each has one of
// its own under catalogParts.
const (
	catalogKey        = "catalog"
	catalogPartPrefix = "catalog/"
)

// catalogPart is one machine type of so many: a part of them would have jobs
// refused that can run.
type catalogPart struct {
	Of   int              `json:"of"`
	Type jobs.MachineType `json:"type"`
}

// refreshCatalog learns the machine types, and their prices from time to time.
func (n *Controller) refreshCatalog(ctx context.Context) {
	for ctx.Err() == nil {
		wait := 2 * n.derived.Cancel
		types, err := n.cloud.Catalog(ctx)
		switch {
		case err == nil:
			n.catalog.Store(&types)
			n.storeCatalog(ctx, types)
		case n.machineTypes() == nil:
			slog.Debug("machine types not read", "reason", err)
			wait = n.derived.TermRenew
			if types := n.readStoredCatalog(ctx); types != nil {
				n.catalog.Store(&types)
			}
		default:
			wait = n.derived.Cancel / 4
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// storeCatalog keeps the machine types, once. What fails is tried again when they
// are read again.
func (n *Controller) storeCatalog(ctx context.Context, types []jobs.MachineType) {
	once := func(key string, v any) {
		if raw, err := json.Marshal(v); err == nil && len(raw) <= n.derived.ValueBytes {
			_, _, _ = n.store.Commit(ctx, []kvstore.Guard{{Key: key}}, []kvstore.Write{{Set: key, Value: raw}})
		}
	}
	if raw, err := json.Marshal(types); err == nil && len(raw) <= n.derived.ValueBytes {
		once(catalogKey, types)
		return
	}
	for i, t := range types {
		once(fmt.Sprint(catalogPartPrefix, i), catalogPart{len(types), t})
	}
}

func (n *Controller) readStoredCatalog(ctx context.Context) (types []jobs.MachineType) {
	p, found, err := n.store.Get(ctx, catalogKey)
	if err == nil && found && json.Unmarshal(p.Value, &types) == nil {
		return types
	}
	pairs, _, err := n.store.List(ctx, catalogPartPrefix)
	if err != nil {
		return nil
	}
	types = nil
	for _, p := range pairs {
		var part catalogPart
		if json.Unmarshal(p.Value, &part) != nil || part.Of != len(pairs) {
			return nil
		}
		types = append(types, part.Type)
	}
	return types
}

func (n *Controller) machineTypes() []jobs.MachineType {
	if t := n.catalog.Load(); t != nil {
		return *t
	}
	return nil
}

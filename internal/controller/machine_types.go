package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync/atomic"

	"ospreyslip/internal/cloud"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/settings"
)

// catalogKey is the store's key of the last known machine types, for a controller that starts
// while the cloud does not answer. Where they do not fit into one value, each has a key of its
// own under catalogPartPrefix.
const (
	catalogKey        = "catalog"
	catalogPartPrefix = "catalog/"
)

// catalogPart is the stored record of one machine type of so many. Of makes sure that all are
// read: with some missing, jobs would be refused that can run.
type catalogPart struct {
	Of   int              `json:"of"`
	Type jobs.MachineType `json:"type"`
}

// machineTypeCatalog is the machine types that the cloud offers, as last read.
type machineTypeCatalog struct {
	derived settings.Derived
	store   *kvstore.Client
	cloud   *cloud.Client
	current atomic.Pointer[[]jobs.MachineType]
}

// types returns the machine types, or nil while they are not known. It may be called from any
// goroutine.
func (m *machineTypeCatalog) types() []jobs.MachineType {
	if types := m.current.Load(); types != nil {
		return *types
	}
	return nil
}

// refresh reads the machine types, and later their prices, until the context ends.
func (m *machineTypeCatalog) refresh(ctx context.Context) {
	for ctx.Err() == nil {
		wait := 2 * m.derived.Workers.CancelDeadline
		types, err := m.cloud.Catalog(ctx)
		switch {
		case err == nil:
			m.current.Store(&types)
			m.save(ctx, types)
		case m.types() == nil:
			slog.Debug("machine types not read", "reason", err)
			wait = m.derived.Election.RenewInterval
			if saved := m.saved(ctx); saved != nil {
				m.current.Store(&saved)
			}
		default:
			wait = m.derived.Workers.CancelDeadline / 4
		}
		sleep(ctx, wait)
	}
}

// save writes the machine types to the store, once: keys that are there are left alone. What
// fails is tried again when the types are read again.
func (m *machineTypeCatalog) save(ctx context.Context, types []jobs.MachineType) {
	if m.saveOnce(ctx, catalogKey, types) {
		return
	}
	for i, machineType := range types {
		m.saveOnce(ctx, fmt.Sprint(catalogPartPrefix, i), catalogPart{len(types), machineType})
	}
}

// saveOnce writes a record unless its key is there. It returns false if the record does not
// fit into a value.
func (m *machineTypeCatalog) saveOnce(ctx context.Context, key string, record any) (fits bool) {
	raw, err := json.Marshal(record)
	if err != nil || len(raw) > m.derived.Store.ValueBytes {
		return false
	}
	_, _, _ = m.store.Commit(ctx, []kvstore.Guard{{Key: key}}, []kvstore.Write{{Set: key, Value: raw}})
	return true
}

// saved reads the machine types from the store. It returns nil unless all are found.
func (m *machineTypeCatalog) saved(ctx context.Context) (types []jobs.MachineType) {
	pair, found, err := m.store.Get(ctx, catalogKey)
	if err == nil && found && json.Unmarshal(pair.Value, &types) == nil {
		return types
	}
	pairs, _, err := m.store.List(ctx, catalogPartPrefix)
	if err != nil {
		return nil
	}
	types = nil
	for _, pair := range pairs {
		var part catalogPart
		if json.Unmarshal(pair.Value, &part) != nil || part.Of != len(pairs) {
			return nil
		}
		types = append(types, part.Type)
	}
	return types
}

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
	"ospreyslip/internal/wirejson"
)

// catalogKey is the key of the machine types in the key-value store. A controller that starts
// while the cloud does not respond reads them from there. If they do not fit into one value, each
// machine type has its own key under catalogPartPrefix.
const (
	catalogKey        = "catalog"
	catalogPartPrefix = "catalog/"
)

// catalogPart is the record of one machine type. Total is the number of machine types, so that a
// reader detects missing records: with an incomplete list, it would reject jobs that can run.
type catalogPart struct {
	Total int              `json:"of"`
	Type  jobs.MachineType `json:"type"`
}

// machineTypeCatalog holds the machine types that the cloud offers, as of the last read.
type machineTypeCatalog struct {
	derived settings.Derived
	store   *kvstore.Client
	cloud   *cloud.Client
	current atomic.Pointer[[]jobs.MachineType]
}

// types returns the machine types, or nil if they are not known yet. It may be called from any
// goroutine.
func (m *machineTypeCatalog) types() []jobs.MachineType {
	if types := m.current.Load(); types != nil {
		return *types
	}
	return nil
}

// refresh reads the machine types periodically until the context ends, to keep prices current.
func (m *machineTypeCatalog) refresh(ctx context.Context) {
	for ctx.Err() == nil {
		wait := 2 * m.derived.Workers.CancelDeadline
		types, err := m.cloud.Catalog(ctx)
		switch {
		case err == nil:
			m.current.Store(&types)
			m.save(ctx, types)
		case m.types() == nil:
			slog.Debug("failed to read machine types", "reason", err)
			wait = m.derived.Election.RenewInterval
			if stored := m.loadStored(ctx); stored != nil {
				m.current.Store(&stored)
			}
		default:
			wait = m.derived.Workers.CancelDeadline / 4
		}
		sleep(ctx, wait)
	}
}

// save writes the machine types to the store unless their keys exist. A write that fails is
// retried after the next read of the machine types.
func (m *machineTypeCatalog) save(ctx context.Context, types []jobs.MachineType) {
	if m.saveIfAbsent(ctx, catalogKey, types) {
		return
	}
	for i, machineType := range types {
		m.saveIfAbsent(ctx, fmt.Sprint(catalogPartPrefix, i), catalogPart{len(types), machineType})
	}
}

// saveIfAbsent writes a record unless its key exists. It returns false if the record does not fit
// into a value.
func (m *machineTypeCatalog) saveIfAbsent(ctx context.Context, key string, record any) (fits bool) {
	raw, err := json.Marshal(record)
	if err != nil || len(raw) > m.derived.Store.ValueBytes {
		return false
	}
	_, _, _ = m.store.Commit(ctx, []kvstore.Guard{{Key: key}}, []kvstore.Write{{Set: key, Value: raw}})
	return true
}

// loadStored returns the machine types that are in the store, or nil if any of them is missing.
func (m *machineTypeCatalog) loadStored(ctx context.Context) (types []jobs.MachineType) {
	pair, found, err := m.store.Get(ctx, catalogKey)
	if err == nil && found && wirejson.Unmarshal(pair.Value, &types) == nil {
		return types
	}
	pairs, _, err := m.store.List(ctx, catalogPartPrefix)
	if err != nil {
		return nil
	}
	types = nil
	for _, pair := range pairs {
		var part catalogPart
		if wirejson.Unmarshal(pair.Value, &part) != nil || part.Total != len(pairs) {
			return nil
		}
		types = append(types, part.Type)
	}
	return types
}

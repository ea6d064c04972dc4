package cluster

import (
	"math"
	"slices"
	"time"

	"ospreyslip/internal/jobs"
)

// Catalog looks up machine types in the cloud's catalog.
type Catalog struct {
	// Types returns the current machine types, or nil while the catalog is not known.
	Types func() []jobs.MachineType
	// DefaultBootTime is the boot time of types that do not state one.
	DefaultBootTime time.Duration
}

// Type returns a machine type by its name, or nil if the catalog does not have it.
func (c *Catalog) Type(name string) *jobs.MachineType {
	types := c.Types()
	i := slices.IndexFunc(types, func(t jobs.MachineType) bool { return t.Name == name })
	if i < 0 {
		return nil
	}
	return &types[i]
}

// BootTime returns how long a machine of the type usually takes to boot.
func (c *Catalog) BootTime(typeName string) time.Duration {
	if machineType := c.Type(typeName); machineType != nil && machineType.BootS > 0 {
		return time.Duration(machineType.BootS * float64(time.Second))
	}
	return c.DefaultBootTime
}

// ShortestBootTime returns the shortest boot time of all types. Without types it is the maximum
// duration.
func (c *Catalog) ShortestBootTime() time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, machineType := range c.Types() {
		shortest = min(shortest, c.BootTime(machineType.Name))
	}
	return shortest
}

package cluster

import (
	"math"
	"slices"
	"time"

	"ospreyslip/internal/jobs"
)

// Catalog looks up machine types in the cloud's catalog.
type Catalog struct {
	// Types returns the current types; nil while the catalog is not known.
	Types func() []jobs.MachineType
	// DefaultBootTime is for types whose boot time is not known.
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

// BootTime is how long a machine of a type usually takes to come up.
func (c *Catalog) BootTime(typeName string) time.Duration {
	if machineType := c.Type(typeName); machineType != nil && machineType.BootS > 0 {
		return time.Duration(machineType.BootS * float64(time.Second))
	}
	return c.DefaultBootTime
}

// ShortestBootTime is the boot time of the type that boots fastest.
func (c *Catalog) ShortestBootTime() time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, machineType := range c.Types() {
		shortest = min(shortest, c.BootTime(machineType.Name))
	}
	return shortest
}

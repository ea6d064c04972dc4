package emulator

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/wirejson"
	"ospreyslip/internal/workers"
)

// SetCapacity sets the maximum number of machines that can be provisioned at a time.
func (w *World) SetCapacity(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cloud.capacity = n
}

// SetCloudOutage starts or ends an outage of the cloud's API.
func (w *World) SetCloudOutage(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cloud.outage = on
}

// ServeHTTP implements http.Handler with the cloud's API.
func (w *World) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	outage := w.cloud.outage
	w.mu.Unlock()
	if outage {
		writeJSON(rw, http.StatusServiceUnavailable, errorResponse{"trouble"})
		return
	}
	switch {
	case r.URL.Path == "/catalog":
		writeJSON(rw, http.StatusOK, catalogResponse{w.Types})
	case r.URL.Path == "/rentals" && r.Method == http.MethodPost:
		w.serveProvision(rw, r)
	case r.URL.Path == "/rentals/release":
		w.serveRelease(rw, r)
	default:
		w.serveMachineList(rw)
	}
}

func (w *World) serveProvision(rw http.ResponseWriter, r *http.Request) {
	var request provisionRequest
	_ = wirejson.UnmarshalFirst(r.Body, &request)
	w.mu.Lock()
	defer w.mu.Unlock()
	if names, ok := w.cloud.provisioned[request.Name]; ok {
		writeJSON(rw, http.StatusOK, machineNames{names})
		return
	}
	count := min(request.Count, w.cloud.capacity-len(w.cloud.machines))
	if count <= 0 {
		writeJSON(rw, http.StatusServiceUnavailable, errorResponse{"no capacity"})
		return
	}
	var names []string
	for range count {
		for _, machineType := range w.Types {
			if machineType.Name == request.Type {
				names = append(names, w.addMachine(machineType, request.Zone, request.Spot))
			}
		}
	}
	w.cloud.provisioned[request.Name] = names
	writeJSON(rw, http.StatusOK, machineNames{names})
}

func (w *World) serveRelease(rw http.ResponseWriter, r *http.Request) {
	var request machineNames
	_ = wirejson.UnmarshalFirst(r.Body, &request)
	for _, name := range request.Machines {
		w.mu.Lock()
		releasedMachine := w.cloud.machines[name]
		w.mu.Unlock()
		if releasedMachine == nil {
			continue
		}
		releasedMachine.worker.powerOff() // acquires w.mu, so it must not be held here
		w.mu.Lock()
		releasedMachine.up = false
		delete(w.cloud.machines, name)
		w.mu.Unlock()
	}
	writeJSON(rw, http.StatusOK, nil)
}

func (w *World) serveMachineList(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	entries := []machineEntry{}
	for _, name := range slices.Sorted(maps.Keys(w.cloud.machines)) {
		listedMachine := w.cloud.machines[name]
		if time.Since(listedMachine.provisionedAt) < w.ListLag {
			continue
		}
		state := "booting"
		if listedMachine.up {
			state = "running"
		}
		entries = append(entries, machineEntry{
			ID: name, Addr: listedMachine.worker.status.Addr, Type: listedMachine.machineType.Name, Zone: listedMachine.zone, Spot: listedMachine.spot,
			State: state, AgeS: time.Since(listedMachine.provisionedAt).Seconds(),
		})
	}
	writeJSON(rw, http.StatusOK, machinePage{Machines: entries})
}

// addMachine provisions a machine, starts to boot it and returns its name. w.mu must be held.
func (w *World) addMachine(machineType jobs.MachineType, zone string, spot bool) string {
	name := fmt.Sprintf("m-%06d", w.cloud.nextMachine)
	addr := defaultAddr(w.cloud.nextMachine)
	if w.AddrOf != nil {
		addr = w.AddrOf(w.cloud.nextMachine)
	}
	w.cloud.nextMachine++
	ctx, cancel := context.WithCancel(w.ctx)
	worker := &Worker{
		world: w, config: w.Workers, machineType: machineType, cancel: cancel, images: map[string]bool{}, heartbeatRequested: make(chan struct{}, 1),
		status: workers.Heartbeat{Machine: name, Addr: addr, Type: machineType.Name, Zone: zone, Spot: spot, AgentEpoch: 1},
	}
	newMachine := &machine{worker: worker, machineType: machineType, zone: zone, spot: spot, provisionedAt: time.Now()}
	w.cloud.machines[name] = newMachine
	w.goroutines.Go(func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.BootTime):
		}
		w.mu.Lock()
		newMachine.up = true
		w.mu.Unlock()
		worker.mu.Lock()
		worker.leaseStartedAt = time.Now()
		worker.mu.Unlock()
		w.Network.Attach(name, addr, worker)
		worker.run(ctx)
	})
	return name
}

// defaultAddr returns the address of the n-th machine in the emulated network.
func defaultAddr(n int) string { return fmt.Sprintf("10.1.%d.%d:9000", n/200, n%200+1) }

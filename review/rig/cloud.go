package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// machineType is an entry of the cloud's catalog.
type machineType struct {
	Label       string   `json:"label"`
	VCPUs       float64  `json:"vcpus"`
	GPUs        float64  `json:"gpus"`
	RAMGB       float64  `json:"ramGb"`
	LocalGB     float64  `json:"localGb"`
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Rate        float64  `json:"rate"`
	LowPrice    float64  `json:"lowPrice"`
	StartupS    float64  `json:"startupS"`
	Eyries      []string `json:"eyries"`
}

// cloudService is a stand-in for the cloud: catalog, rentals and the list of machines. Each machine
// runs a worker.
type cloudService struct {
	rig   *rig
	types []machineType
	boot  time.Duration
	most  int // machines that it has to give at a time

	mu       sync.Mutex
	machines map[string]*machine
	charters map[string][]string
	lastID   int
}

// machine is a rented machine.
type machine struct {
	id, zone string
	spot     bool
	kind     machineType
	rentedAt time.Time
	worker   *worker // nil while it boots
	gone     bool
}

func newCloudService(r *rig, types []machineType, boot time.Duration, most int) *cloudService {
	return &cloudService{rig: r, types: types, boot: boot, most: most, machines: map[string]*machine{}, charters: map[string][]string{}}
}

// ServeHTTP implements http.Handler.
func (c *cloudService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/catalog":
		reply(w, http.StatusOK, map[string]any{"perches": c.types})
	case r.URL.Path == "/rentals" && r.Method == http.MethodPost:
		c.serveRental(w, r)
	case r.URL.Path == "/rentals/release":
		c.serveRelease(w, r)
	case r.URL.Path == "/rentals":
		c.serveList(w, r)
	default:
		reply(w, http.StatusBadRequest, nil)
	}
}

func (c *cloudService) serveRental(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Charter   string `json:"charter"`
		PerchKind string `json:"perchKind"`
		Eyrie     string `json:"eyrie"`
		Driftwood bool   `json:"driftwood"`
		Number    int    `json:"number"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.Number < 1 || request.Number > 50 {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ids, known := c.charters[request.Charter]
	if !known {
		for _, kind := range c.types {
			for n := 0; kind.Label == request.PerchKind && n < request.Number && len(c.machines) < c.most; n++ {
				ids = append(ids, c.rent(kind, request.Eyrie, request.Driftwood))
			}
		}
		if len(ids) == 0 {
			reply(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
			return
		}
		c.charters[request.Charter] = ids
	}
	reply(w, http.StatusOK, map[string]any{"hosts": ids})
}

// rent adds a machine, which boots. c.mu must be held.
func (c *cloudService) rent(kind machineType, zone string, spot bool) string {
	c.lastID++
	m := &machine{id: fmt.Sprintf("m-%06d", c.lastID), zone: zone, spot: spot, kind: kind, rentedAt: time.Now()}
	c.machines[m.id] = m
	c.rig.record.add("cloud", "%s rented: %s in %s", m.id, kind.Label, zone)
	time.AfterFunc(c.boot, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if m.gone {
			return
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.rig.record.add("cloud", "%s does not come up: %v", m.id, err)
			return
		}
		m.worker = startWorker(c.rig, m, listener)
	})
	return m.id
}

func (c *cloudService) serveRelease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Hosts []string `json:"hosts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || len(request.Hosts) > 100 {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	for _, id := range request.Hosts {
		c.mu.Lock()
		m := c.machines[id]
		delete(c.machines, id)
		if m != nil {
			m.gone = true
			c.rig.record.add("cloud", "%s released", id)
		}
		c.mu.Unlock()
		if m != nil && m.worker != nil {
			m.worker.powerOff()
		}
	}
	reply(w, http.StatusOK, map[string]any{})
}

func (c *cloudService) serveList(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := []any{}
	var ids []string
	for id, m := range c.machines {
		if time.Since(m.rentedAt) > c.rig.listLag && id > r.URL.Query().Get("after") {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		m, stance, addr := c.machines[id], "booting", ""
		if m.worker != nil {
			stance, addr = "running", m.worker.addr
		}
		hosts = append(hosts, map[string]any{
			"id": id, "addr": addr, "perchKind": m.kind.Label, "eyrie": m.zone, "driftwood": m.spot,
			"stance": stance, "ageS": time.Since(m.rentedAt).Seconds(),
		})
	}
	reply(w, http.StatusOK, map[string]any{"hosts": hosts, "hasNext": false})
}

// workers returns the workers of all machines that are up.
func (c *cloudService) workers() (all []*worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.worker != nil {
			all = append(all, m.worker)
		}
	}
	return all
}

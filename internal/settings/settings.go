// Package settings reads what the platform hands over and derives every
// duration and limit that the rest of the program uses.
package settings

import (
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
)

// Settings is the platform's file. Unknown fields are ignored, so that new
// ones may appear without a new release.
type Settings struct {
	Node          string     `toml:"node_name"`
	Zone          string     `toml:"location"`
	Listen        string     `toml:"bind"`
	ClusterListen string     `toml:"cluster_listen"`
	Peers         []Peer     `toml:"peers"`
	Endpoints     Endpoints  `toml:"endpoints"`
	Deployment    Deployment `toml:"deployment"`
	Operator      Operator   `toml:"-"`
}

// Peer is another controller.
type Peer struct {
	Node string `toml:"node_name"`
	Zone string `toml:"location"`
	Addr string `toml:"peer_addr"`
}

// Endpoints are the outside services.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Deployment is what all controllers have in common.
type Deployment struct {
	Nodes      int         `toml:"nodes"`
	Zones      []string    `toml:"zones"`
	ClockOffMs float64     `toml:"clock_off_ms"`
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    Workers     `toml:"workers"`
	State      State       `toml:"state"`
	Cloud      Cloud       `toml:"cloud"`
	Limits     Limits      `toml:"machine_limits"`
}

// Team has a guarantee and a limit; a limit of 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is an aim at start or at finish.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"` // of the job's own deadline
}

// Workers holds the workers' periods.
type Workers struct {
	ReportS   float64  `toml:"report_s"`
	LeaseS    float64  `toml:"lease_s"`
	CancelS   float64  `toml:"cancel_s"`
	GangWaitS *float64 `toml:"gang_wait_s"` // a gang that is not complete by then ends
	GangPeerS *float64 `toml:"gang_peer_s"` // within it a gang notices a lost task, and all must be told to stop
}

// State holds the state service's limits, and those that it will have from some
// moment on, of which there is no notice.
type State struct {
	RPS      float64    `toml:"rps"`
	WriteRPS float64    `toml:"write_rps"`
	ValueKB  float64    `toml:"value_kb"`
	TxnOps   int        `toml:"txn_ops"`
	Next     *NextState `toml:"next"`
}

// NextState holds limits to come. What is absent stays as it is.
type NextState struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Within returns limits that hold now and later: as there is no notice of the
// change, everything is written within the smaller ones from the first moment.
func (s State) Within() State {
	w := State{RPS: s.RPS, WriteRPS: s.WriteRPS, ValueKB: s.ValueKB, TxnOps: s.TxnOps}
	if n := s.Next; n != nil {
		w.RPS, w.WriteRPS, w.ValueKB = least(w.RPS, n.RPS), least(w.WriteRPS, n.WriteRPS), least(w.ValueKB, n.ValueKB)
		w.TxnOps = least(w.TxnOps, n.TxnOps)
	}
	return w
}

func least[T int | float64](now T, next *T) T {
	if next == nil {
		return now
	}
	return min(now, *next)
}

// Cloud holds the cloud's limits.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits is what one controller may use of its host.
type Limits struct {
	Cores      float64 `toml:"cores"`
	MemoryMB   float64 `toml:"memory_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// Load reads and checks the platform's file and the operators', if there is one.
func Load(path, operator string) (*Settings, error) {
	var s Settings
	var err error
	if s.Operator, err = LoadOperator(operator); err != nil {
		return nil, err
	}
	if _, err := toml.DecodeFile(path, &s); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return &s, nil
}

// What the records need: a page of the book has to hold some assignments, and a
// transaction the token, the end of a job and two pages.
const (
	leastOps     = 4
	leastValueKB = 0.5
)

func (s *Settings) check() error {
	var errs []error
	bad := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	positive := func(name string, v float64) {
		if !(v > 0) || math.IsInf(v, 0) {
			bad("%s must be a finite number above 0, is %v", name, v)
		}
	}
	address := func(name, v string) {
		if _, _, err := net.SplitHostPort(v); err != nil {
			bad("%s must be host:port, is %q", name, v)
		}
	}
	if s.Node == "" {
		bad("node_name is missing")
	}
	address("bind", s.Listen)
	address("cluster_listen", s.ClusterListen)
	address("endpoints.cloud", s.Endpoints.Cloud)
	address("endpoints.state", s.Endpoints.State)
	for i, p := range s.Peers {
		if p.Node == "" || p.Node == s.Node {
			bad("peers[%d].node_name must name another node, is %q", i, p.Node)
		}
		address(fmt.Sprintf("peers[%d].peer_addr", i), p.Addr)
	}
	d := &s.Deployment
	if len(d.Zones) == 0 {
		bad("deployment.zones is empty")
	}
	seen := map[string]bool{}
	for i, t := range d.Teams {
		if t.Name == "" || seen[t.Name] {
			bad("deployment.teams[%d].name must be set and unique, is %q", i, t.Name)
		}
		seen[t.Name] = true
		for name, v := range map[string]float64{"cpus": t.CPUs, "cpus_max": t.CPUsMax, "gpus": t.GPUs, "gpus_max": t.GPUsMax} {
			if !(v >= 0) || math.IsInf(v, 0) {
				bad("deployment.teams[%d].%s must be a finite number of at least 0, is %v", i, name, v)
			}
		}
	}
	positive("deployment.workers.report_s", d.Workers.ReportS)
	positive("deployment.workers.lease_s", d.Workers.LeaseS)
	positive("deployment.workers.cancel_s", d.Workers.CancelS)
	positive("deployment.state.rps", d.State.RPS)
	positive("deployment.state.write_rps", d.State.WriteRPS)
	positive("deployment.state.value_kb", d.State.ValueKB)
	ops := func(name string, v int) {
		if v < leastOps {
			bad("%s must be at least %d, is %d", name, leastOps, v)
		}
	}
	ops("deployment.state.txn_ops", d.State.TxnOps)
	if n := d.State.Next; n != nil {
		for name, v := range map[string]*float64{"rps": n.RPS, "write_rps": n.WriteRPS, "value_kb": n.ValueKB} {
			if v != nil {
				positive("deployment.state.next."+name, *v)
			}
		}
		if n.TxnOps != nil {
			ops("deployment.state.next.txn_ops", *n.TxnOps)
		}
	}
	if kb := d.State.Within().ValueKB; kb > 0 && kb < leastValueKB {
		bad("deployment.state.value_kb, and next.value_kb, must be at least %v, is %v", leastValueKB, kb)
	}
	for name, v := range map[string]*float64{"gang_wait_s": d.Workers.GangWaitS, "gang_peer_s": d.Workers.GangPeerS} {
		if v != nil {
			positive("deployment.workers."+name, *v)
		}
	}
	positive("deployment.cloud.rps", d.Cloud.RPS)
	positive("deployment.cloud.list_lag_s", d.Cloud.ListLagS)
	positive("deployment.machine_limits.memory_mb", d.Limits.MemoryMB)
	if d.Limits.MemoryMB > 0 {
		s.checkLimits(bad)
	}
	if d.Workers.CancelS <= d.Workers.LeaseS {
		bad("deployment.workers.cancel_s (%v) must exceed lease_s (%v)", d.Workers.CancelS, d.Workers.LeaseS)
	}
	return errors.Join(errs...)
}

// Team returns the team of that name.
func (s *Settings) Team(name string) (Team, bool) {
	i := slices.IndexFunc(s.Deployment.Teams, func(t Team) bool { return t.Name == name })
	if i < 0 {
		return Team{}, false
	}
	return s.Deployment.Teams[i], true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

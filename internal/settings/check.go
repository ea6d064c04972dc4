package settings

import (
	"errors"
	"fmt"
	"math"
	"net"
)

// What the records need: a page of the book has to hold some assignments, and a
// transaction the token, the end of a job and two pages.
const (
	leastOps     = 4
	leastValueKB = 0.5
)

// checker collects what is wrong with settings.
type checker struct{ errs []error }

func (c *checker) bad(format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf(format, args...))
}

func (c *checker) positive(name string, v float64) {
	if !(v > 0) || math.IsInf(v, 0) {
		c.bad("%s must be a finite number above 0, is %v", name, v)
	}
}

func (c *checker) notNegative(name string, v float64) {
	if !(v >= 0) || math.IsInf(v, 0) {
		c.bad("%s must be a finite number of at least 0, is %v", name, v)
	}
}

func (c *checker) address(name, v string) {
	if _, _, err := net.SplitHostPort(v); err != nil {
		c.bad("%s must be host:port, is %q", name, v)
	}
}

func (c *checker) ops(name string, v int) {
	if v < leastOps {
		c.bad("%s must be at least %d, is %d", name, leastOps, v)
	}
}

func (s *Settings) check() error {
	var c checker
	s.checkAddresses(&c)
	s.checkTeams(&c)
	s.checkWorkers(&c)
	s.checkState(&c)
	d := &s.Deployment
	c.positive("deployment.cloud.rps", d.Cloud.RPS)
	c.positive("deployment.cloud.list_lag_s", d.Cloud.ListLagS)
	c.positive("deployment.machine_limits.memory_mb", d.Limits.MemoryMB)
	if d.Limits.MemoryMB > 0 {
		s.checkLimits(c.bad)
	}
	return errors.Join(c.errs...)
}

func (s *Settings) checkAddresses(c *checker) {
	if s.Node == "" {
		c.bad("node_name is missing")
	}
	c.address("bind", s.Bind)
	c.address("cluster_listen", s.ClusterListen)
	c.address("endpoints.cloud", s.Endpoints.Cloud)
	c.address("endpoints.state", s.Endpoints.Store)
	for i, p := range s.Peers {
		if p.Node == "" || p.Node == s.Node {
			c.bad("peers[%d].node_name must name another node, is %q", i, p.Node)
		}
		c.address(fmt.Sprintf("peers[%d].peer_addr", i), p.Addr)
	}
	if len(s.Deployment.Zones) == 0 {
		c.bad("deployment.zones is empty")
	}
}

func (s *Settings) checkTeams(c *checker) {
	seen := map[string]bool{}
	for i, t := range s.Deployment.Teams {
		if t.Name == "" || seen[t.Name] {
			c.bad("deployment.teams[%d].name must be set and unique, is %q", i, t.Name)
		}
		seen[t.Name] = true
		for name, v := range map[string]float64{"cpus": t.GuaranteedCPUs, "cpus_max": t.MaxCPUs, "gpus": t.GuaranteedGPUs, "gpus_max": t.MaxGPUs} {
			c.notNegative(fmt.Sprintf("deployment.teams[%d].%s", i, name), v)
		}
	}
}

func (s *Settings) checkWorkers(c *checker) {
	w := &s.Deployment.Workers
	c.positive("deployment.workers.report_s", w.HeartbeatS)
	c.positive("deployment.workers.lease_s", w.LeaseS)
	c.positive("deployment.workers.cancel_s", w.CancelS)
	for name, v := range map[string]*float64{"gang_wait_s": w.GangWaitS, "gang_peer_s": w.GangPeerS} {
		if v != nil {
			c.positive("deployment.workers."+name, *v)
		}
	}
	if w.CancelS <= w.LeaseS {
		c.bad("deployment.workers.cancel_s (%v) must exceed lease_s (%v)", w.CancelS, w.LeaseS)
	}
}

func (s *Settings) checkState(c *checker) {
	st := &s.Deployment.Store
	c.positive("deployment.state.rps", st.RPS)
	c.positive("deployment.state.write_rps", st.WriteRPS)
	c.positive("deployment.state.value_kb", st.ValueKB)
	c.ops("deployment.state.txn_ops", st.TxnOps)
	if n := st.Next; n != nil {
		for name, v := range map[string]*float64{"rps": n.RPS, "write_rps": n.WriteRPS, "value_kb": n.ValueKB} {
			if v != nil {
				c.positive("deployment.state.next."+name, *v)
			}
		}
		if n.TxnOps != nil {
			c.ops("deployment.state.next.txn_ops", *n.TxnOps)
		}
	}
	if kb := st.Effective().ValueKB; kb > 0 && kb < leastValueKB {
		c.bad("deployment.state.value_kb, and next.value_kb, must be at least %v, is %v", leastValueKB, kb)
	}
}

package settings

import (
	"errors"
	"fmt"
	"math"
	"net"
)

// Smallest limits of the state service that the stored records fit into.
const (
	minTxnOps  = 4   // the fencing token, the final record of a job and two segments of the assignment log
	minValueKB = 0.5 // a segment of the assignment log with a few assignments
)

// checker collects validation errors. Each error names the setting and the values it may have.
type checker struct{ errs []error }

func (c *checker) addf(format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf(format, args...))
}

func (c *checker) positive(name string, value float64) {
	if !(value > 0) || math.IsInf(value, 0) {
		c.addf("%s must be a finite number above 0, is %v", name, value)
	}
}

func (c *checker) nonNegative(name string, value float64) {
	if !(value >= 0) || math.IsInf(value, 0) {
		c.addf("%s must be a finite number of at least 0, is %v", name, value)
	}
}

func (c *checker) address(name, addr string) {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		c.addf("%s must be host:port, is %q", name, addr)
	}
}

func (c *checker) txnOps(name string, ops int) {
	if ops < minTxnOps {
		c.addf("%s must be at least %d, is %d", name, minTxnOps, ops)
	}
}

// check validates the settings and returns all errors, joined.
func (s *Settings) check() error {
	var checks checker
	s.checkAddresses(&checks)
	s.checkTeams(&checks)
	s.checkWorkers(&checks)
	s.checkStore(&checks)
	deployment := &s.Deployment
	checks.positive("deployment.cloud.rps", deployment.Cloud.RPS)
	checks.positive("deployment.cloud.list_lag_s", deployment.Cloud.ListLagS)
	checks.positive("deployment.machine_limits.memory_mb", deployment.Limits.MemoryMB)
	if deployment.Limits.MemoryMB > 0 {
		s.checkLimits(checks.addf)
	}
	return errors.Join(checks.errs...)
}

func (s *Settings) checkAddresses(checks *checker) {
	if s.ControllerName == "" {
		checks.addf("node_name is missing")
	}
	checks.address("bind", s.Bind)
	checks.address("cluster_listen", s.ClusterListen)
	checks.address("endpoints.cloud", s.Endpoints.Cloud)
	checks.address("endpoints.state", s.Endpoints.Store)
	for i, peer := range s.Peers {
		if peer.ControllerName == "" || peer.ControllerName == s.ControllerName {
			checks.addf("peers[%d].node_name must name another node, is %q", i, peer.ControllerName)
		}
		checks.address(fmt.Sprintf("peers[%d].peer_addr", i), peer.Addr)
	}
	if len(s.Deployment.Zones) == 0 {
		checks.addf("deployment.zones is empty")
	}
}

func (s *Settings) checkTeams(checks *checker) {
	seenNames := map[string]bool{}
	for i, team := range s.Deployment.Teams {
		if team.Name == "" || seenNames[team.Name] {
			checks.addf("deployment.teams[%d].name must be set and unique, is %q", i, team.Name)
		}
		seenNames[team.Name] = true
		for name, value := range map[string]float64{"cpus": team.GuaranteedCPUs, "cpus_max": team.MaxCPUs, "gpus": team.GuaranteedGPUs, "gpus_max": team.MaxGPUs} {
			checks.nonNegative(fmt.Sprintf("deployment.teams[%d].%s", i, name), value)
		}
	}
}

func (s *Settings) checkWorkers(checks *checker) {
	workers := &s.Deployment.Workers
	checks.positive("deployment.workers.report_s", workers.HeartbeatS)
	checks.positive("deployment.workers.lease_s", workers.LeaseS)
	checks.positive("deployment.workers.cancel_s", workers.CancelS)
	for name, value := range map[string]*float64{"gang_wait_s": workers.GangWaitS, "gang_peer_s": workers.GangPeerS} {
		if value != nil {
			checks.positive("deployment.workers."+name, *value)
		}
	}
	if workers.CancelS <= workers.LeaseS {
		checks.addf("deployment.workers.cancel_s (%v) must exceed lease_s (%v)", workers.CancelS, workers.LeaseS)
	}
}

func (s *Settings) checkStore(checks *checker) {
	store := &s.Deployment.Store
	checks.positive("deployment.state.rps", store.RPS)
	checks.positive("deployment.state.write_rps", store.WriteRPS)
	checks.positive("deployment.state.value_kb", store.ValueKB)
	checks.txnOps("deployment.state.txn_ops", store.TxnOps)
	if upcoming := store.Next; upcoming != nil {
		for name, value := range map[string]*float64{"rps": upcoming.RPS, "write_rps": upcoming.WriteRPS, "value_kb": upcoming.ValueKB} {
			if value != nil {
				checks.positive("deployment.state.next."+name, *value)
			}
		}
		if upcoming.TxnOps != nil {
			checks.txnOps("deployment.state.next.txn_ops", *upcoming.TxnOps)
		}
	}
	if valueKB := store.Effective().ValueKB; valueKB > 0 && valueKB < minValueKB {
		checks.addf("deployment.state.value_kb, and next.value_kb, must be at least %v, is %v", minValueKB, valueKB)
	}
}

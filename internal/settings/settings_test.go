package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestLoad(t *testing.T) {
	good, err := os.ReadFile("testdata/perch-0.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ name, old, new, want string }{
		{"as handed over, with unknown fields", "", "", ""},
		{"not TOML", "node_name =", "node_name", "toml"},
		{"wrong type", "report_s = 2.0", `report_s = "2"`, "report_s"},
		{"address without a port", `bind = "127.0.0.1:8080"`, `bind = "127.0.0.1"`, "bind must be host:port"},
		{"lease of no length", "lease_s = 20.0", "lease_s = 0.0", "deployment.workers.lease_s must be a finite number above 0, is 0"},
		{"no number", "rps = 6.0", "rps = nan", "deployment.cloud.rps must be a finite number"},
		{"cancellations shorter than leases", "cancel_s = 40.0", "cancel_s = 20.0", "cancel_s (20) must exceed lease_s (20)"},
		{"a team twice", `name = "blue"`, `name = "red"`, "deployment.teams[1].name"},
		{"negative limit", "cpus_max = 40.0", "cpus_max = -1.0", "cpus_max must be a finite number of at least 0"},
		{"a gang's wait of no length", "lease_s = 20.0", "lease_s = 20.0\ngang_wait_s = 0.0", "deployment.workers.gang_wait_s must be a finite number above 0, is 0"},
		{"limits to come", "txn_ops = 12", "txn_ops = 12\n[deployment.state.next]\nvalue_kb = 2.0\nmore = 1", ""},
		{"a value to come of no size", "txn_ops = 12", "txn_ops = 12\n[deployment.state.next]\nvalue_kb = 0.0", "deployment.state.next.value_kb must be a finite number above 0, is 0"},
		{"transactions to come too small", "txn_ops = 12", "txn_ops = 12\n[deployment.state.next]\ntxn_ops = 3", "deployment.state.next.txn_ops must be at least 4, is 3"},
		{"too little memory", "memory_mb = 200.0", "memory_mb = 12.0", "deployment.machine_limits.memory_mb must be at least 25, is 12"},
		{"hardly enough memory", "memory_mb = 200.0", "memory_mb = 25.0", ""},
		{"too few sockets", "max_sockets = 1000", "max_sockets = 64", "deployment.machine_limits.max_sockets must be at least 150, is 64"},
		{"itself as a peer", `node_name = "perch-1"`, `node_name = "perch-0"`, "peers[0].node_name"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "s.toml")
			if err := os.WriteFile(file, []byte(strings.Replace(string(good), tc.old, tc.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Load(file, "")
			switch {
			case tc.want == "" && err != nil:
				t.Errorf("refused: %v", err)
			case tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)):
				t.Errorf("got %v, want it to name %q", err, tc.want)
			}
		})
	}
}

func TestLoadOperator(t *testing.T) {
	if d := DefaultOperator(); d.SuspectHeartbeats != 3 || d.HoldHeartbeats != 2 || d.VerdictIntervalS != 1 || d.TimeLeftShare != 0.4 || d.TakeoverPatience != 1 || d.IdleBootTimes != 0.5 || d.SlowBootTimes != 2 || d.LateBootTimes != 4 {
		t.Errorf("defaults: %+v", d)
	}
	for _, tc := range []struct{ name, body, want string }{
		{"empty", `{}`, ""},
		{"one field", `{"idleBoots": 2}`, ""},
		{"out of range", `{"silentReports": 1}`, "silentReports: validating root: validating /properties/silentReports: minimum: 1/1 is less than 2"},
		{"wrong type", `{"dueShare": "half"}`, `dueShare: validating root: validating /properties/dueShare: type: half has type "string", want "number"`},
		{"unknown field", `{"silent": 3}`, `silent: validating root: unexpected additional properties ["silent"]`},
		{"not JSON", `{`, "unexpected end of JSON input"},
		{"not an object", `[]`, `has type "array", want "object"`},
		{"two faults, the first", `{"silentReports": 1, "dueShare": 3}`, "dueShare: "},
		{"two faults, the second", `{"silentReports": 1, "dueShare": 3}`, "silentReports: "},
		{"late before slow", `{"slowBoots": 5, "lateBoots": 2}`, "lateBoots (2) must not be below slowBoots (5)"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "operator.json")
			if err := os.WriteFile(file, []byte(tc.body), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := LoadOperator(file)
			if tc.want == "" && err != nil || tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)) {
				t.Errorf("got %v, want %q", err, tc.want)
			}
		})
	}
}

// All is written within the smaller of the limits that hold and those to come, but
// for what says how stored records are laid out.
func TestLimitsToCome(t *testing.T) {
	kb, writes, ops := 2.0, 35.0, 20
	s := Settings{Operator: DefaultOperator(), Deployment: Deployment{
		Workers: Workers{HeartbeatS: 2, LeaseS: 20, CancelS: 40},
		Store:   StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 32, TxnOps: 12},
		Cloud:   Cloud{RPS: 5, ListLagS: 5}, Limits: Limits{MemoryMB: 100, MaxSockets: 100},
	}}
	now := s.Derive()
	s.Deployment.Store.Next = &UpcomingStoreLimits{ValueKB: &kb, WriteRPS: &writes, TxnOps: &ops}
	d := s.Derive()
	if w := s.Deployment.Store.Effective(); w.RPS != 100 || w.WriteRPS != 35 || w.ValueKB != 2 || w.TxnOps != 12 {
		t.Errorf("within %+v", w)
	}
	if d.Store.ValueBytes != 2048 || d.Store.TxnOps != 12 || d.Leader.FlushInterval <= now.Leader.FlushInterval {
		t.Errorf("%d bytes a value, %d writes a transaction, one in %v", d.Store.ValueBytes, d.Store.TxnOps, d.Leader.FlushInterval)
	}
	if d.Store.ChunkTasks != now.Store.ChunkTasks || d.Election.LeaseDuration != now.Election.LeaseDuration {
		t.Error("what both versions have to agree on follows the limits to come")
	}
}

// The ratios have to leave room for each other, at any pace.
func TestDerivedBounds(t *testing.T) {
	for _, w := range []Workers{{HeartbeatS: 1.5, LeaseS: 10, CancelS: 30}, {HeartbeatS: 3, LeaseS: 45, CancelS: 70}, {HeartbeatS: 0.5, LeaseS: 4, CancelS: 9}, {HeartbeatS: 10, LeaseS: 40, CancelS: 41}} {
		s := Settings{Operator: DefaultOperator(), Deployment: Deployment{Workers: w, Store: StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 32, TxnOps: 12}, Cloud: Cloud{RPS: 5, ListLagS: 5}, Limits: Limits{MemoryMB: 100, MaxSockets: 100}}}
		d := s.Derive()
		if d.Election.LeaseValidity >= d.Election.LeaseDuration {
			t.Errorf("%+v: the holder may outlast its lease", w)
		}
		if d.Workers.LeaseExpiry <= d.Workers.Lease {
			t.Errorf("%+v: a task could be freed before its worker ends it", w)
		}
		// A cancellation unseen for as long as the picture may be old, plus a
		// worker's lease, must end in time.
		if d.Store.MaxStaleness+d.Workers.LeaseExpiry > d.Workers.CancelDeadline {
			t.Errorf("%+v: a cancelled task could outlast %v", w, d.Workers.CancelDeadline)
		}
		if d.Store.WatchTimeout >= d.Store.MaxStaleness {
			t.Errorf("%+v: a quiet watch would look stale", w)
		}
		if d.Election.RenewInterval <= 0 || d.Election.RenewInterval > d.Election.LeaseValidity/3 {
			t.Errorf("%+v: too few renewals in one lease", w)
		}
		if d.API.RequestTimeout > 2*time.Second {
			t.Errorf("%+v: polls wait two seconds", w)
		}
	}
}

// The parts of a budget add up to the limits, and no part is below nothing.
func TestBudgetAddsUp(t *testing.T) {
	for _, limits := range []Limits{{MemoryMB: 65, MaxSockets: 1000}, {MemoryMB: 212, MaxSockets: 5000}, {MemoryMB: 322, MaxSockets: 3163}, {MemoryMB: 25, MaxSockets: 5000}, {MemoryMB: 1000, MaxSockets: 300}} {
		s := Settings{Operator: DefaultOperator(), Peers: make([]Peer, 4), Deployment: Deployment{Workers: Workers{HeartbeatS: 2, LeaseS: 20, CancelS: 40}, Store: StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 32, TxnOps: 12}, Cloud: Cloud{RPS: 5, ListLagS: 5}, Limits: limits}}
		if !s.fitsLimits(limits) {
			t.Errorf("%+v is refused", limits)
		}
		b := s.Budget()
		if got := totalOf(b.Sockets); got != int64(limits.MaxSockets) {
			t.Errorf("%+v: %d sockets", limits, got)
		}
		if got := totalOf(b.Memory); got != int64(limits.MemoryMB*(1<<20)) {
			t.Errorf("%+v: %d bytes", limits, got)
		}
		for _, u := range append(b.Sockets, b.Memory...) {
			if u.Amount < 0 {
				t.Errorf("%+v: %d for %s", limits, u.Amount, u.Purpose)
			}
		}
	}
}

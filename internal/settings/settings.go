package settings

import (
	"fmt"
	"slices"
	"time"
)

// Settings holds the contents of the platform's settings file and the operators' settings.
type Settings struct {
	ControllerName string     `toml:"node_name"`      // this controller's name
	Zone           string     `toml:"location"`       // zone in which it runs
	Bind           string     `toml:"bind"`           // host:port for users and workers
	ClusterListen  string     `toml:"cluster_listen"` // host:port for peers and operators
	Peers          []Peer     `toml:"peers"`
	Endpoints      Endpoints  `toml:"endpoints"`
	Deployment     Deployment `toml:"deployment"`
	Operator       Operator   // from the operators' own file
}

// Peer is another controller.
type Peer struct {
	ControllerName string `toml:"node_name"`
	Zone           string `toml:"location"`
	Addr           string `toml:"peer_addr"` // host:port, its ClusterListen
}

// Endpoints holds the addresses of external services, as host:port.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"`
}

// Deployment holds the settings that all controllers of a deployment share.
type Deployment struct {
	ControllerCount int         `toml:"nodes"` // number of controllers
	Zones           []string    `toml:"zones"`
	MaxClockErrorMs float64     `toml:"clock_off_ms"` // maximum error of wall clocks
	Teams           []Team      `toml:"teams"`
	Objectives      []Objective `toml:"objectives"`
	Workers         Workers     `toml:"workers"`
	Store           StoreLimits `toml:"state"`
	Cloud           Cloud       `toml:"cloud"`
	Limits          HostLimits  `toml:"machine_limits"`
}

// Team holds the guaranteed resources of a team and its limits. A limit of 0 means no limit.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// Values of Objective.Kind.
const (
	ObjectiveFinished  = "finished"  // jobs finish within a fixed time
	ObjectiveDeadline  = "deadline"  // jobs finish within their own deadline times a factor
	ObjectiveWait      = "wait"      // tasks start within a fixed time
	ObjectiveGuarantee = "guarantee" // tasks within a team's guarantee start within a fixed time
)

// Objective is a service-level objective for the start or the end of a class of jobs.
type Objective struct {
	Kind           string  `toml:"kind"`
	Class          string  `toml:"class"`
	WithinS        float64 `toml:"within_s"`
	Share          float64 `toml:"share"` // share of jobs or tasks that must meet it
	DeadlineFactor float64 `toml:"times"` // multiplies the job's own deadline
}

// Workers holds the timing of workers.
type Workers struct {
	HeartbeatS float64  `toml:"report_s"` // time between two heartbeats
	LeaseS     float64  `toml:"lease_s"`
	CancelS    float64  `toml:"cancel_s"`    // a cancelled task must have stopped within this time
	GangWaitS  *float64 `toml:"gang_wait_s"` // a gang that is still incomplete after this time ends
	GangPeerS  *float64 `toml:"gang_peer_s"` // time to notice that a task of a gang is lost and to tell all its tasks to stop
}

// StoreLimits holds the current and the upcoming limits of the state service. The change is not
// announced.
type StoreLimits struct {
	RPS      float64              `toml:"rps"`       // requests per second
	WriteRPS float64              `toml:"write_rps"` // writes per second
	ValueKB  float64              `toml:"value_kb"`  // maximum size of a value
	TxnOps   int                  `toml:"txn_ops"`   // maximum writes in a transaction
	Next     *UpcomingStoreLimits `toml:"next"`
}

// UpcomingStoreLimits holds limits that will take effect later. A nil limit does not change.
type UpcomingStoreLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Shares of the key-value store's rates that the leader may use. The other controllers share the
// rest evenly. The leader's share is larger for writes because it makes most of them.
const (
	LeaderRequestShare = 0.5
	LeaderWriteShare   = 0.64
)

// Effective returns limits that are valid both now and later. Because the change is not
// announced, the stricter limits apply from the start.
func (s StoreLimits) Effective() StoreLimits {
	limits := StoreLimits{RPS: s.RPS, WriteRPS: s.WriteRPS, ValueKB: s.ValueKB, TxnOps: s.TxnOps}
	if upcoming := s.Next; upcoming != nil {
		limits.RPS = stricter(limits.RPS, upcoming.RPS)
		limits.WriteRPS = stricter(limits.WriteRPS, upcoming.WriteRPS)
		limits.ValueKB = stricter(limits.ValueKB, upcoming.ValueKB)
		limits.TxnOps = stricter(limits.TxnOps, upcoming.TxnOps)
	}
	return limits
}

// stricter returns the lower of two limits. A nil next means that the limit does not change.
func stricter[T int | float64](current T, next *T) T {
	if next == nil {
		return current
	}
	return min(current, *next)
}

// Cloud holds the cloud's limits.
type Cloud struct {
	RPS      float64 `toml:"rps"`        // requests per second
	ListLagS float64 `toml:"list_lag_s"` // maximum age of the machine list
}

// HostLimits holds the resources of its host that one controller may use.
type HostLimits struct {
	Cores      float64 `toml:"cores"`
	MemoryMB   float64 `toml:"memory_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// Load reads and validates the platform's settings file at path and the operators' settings file
// at operatorPath; if operatorPath is empty, the operators' settings have their defaults. The error
// names every invalid setting of the first file that is invalid.
func Load(path, operatorPath string) (*Settings, error) {
	var loaded Settings
	var err error
	if loaded.Operator, err = LoadOperator(operatorPath); err != nil {
		return nil, err
	}
	if err := decodeFile(path, &loaded); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	if err := loaded.check(); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return &loaded, nil
}

// Team returns the team with the given name and reports whether it exists.
func (s *Settings) Team(name string) (Team, bool) {
	i := slices.IndexFunc(s.Deployment.Teams, func(t Team) bool { return t.Name == name })
	if i < 0 {
		return Team{}, false
	}
	return s.Deployment.Teams[i], true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

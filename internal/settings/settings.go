package settings

import (
	"fmt"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
)

// Settings is the platform's file, and the operators' settings beside it. Unknown fields are
// ignored, so that new ones may appear without a new release.
type Settings struct {
	Node          string     `toml:"node_name"`      // this controller's name
	Zone          string     `toml:"location"`       // where it runs
	Bind          string     `toml:"bind"`           // host:port for users and workers
	ClusterListen string     `toml:"cluster_listen"` // host:port for peers and operators
	Peers         []Peer     `toml:"peers"`
	Endpoints     Endpoints  `toml:"endpoints"`
	Deployment    Deployment `toml:"deployment"`
	Operator      Operator   `toml:"-"`
}

// Peer is another controller.
type Peer struct {
	Node string `toml:"node_name"`
	Zone string `toml:"location"`
	Addr string `toml:"peer_addr"` // host:port, its ClusterListen
}

// Endpoints are the addresses of the outside services, host:port.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"`
}

// Deployment is what all controllers have in common.
type Deployment struct {
	Nodes      int         `toml:"nodes"` // number of controllers
	Zones      []string    `toml:"zones"`
	ClockOffMs float64     `toml:"clock_off_ms"` // bound of how far times of day are off
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    Workers     `toml:"workers"`
	Store      StoreLimits `toml:"state"`
	Cloud      Cloud       `toml:"cloud"`
	Limits     Limits      `toml:"machine_limits"`
}

// Team has guaranteed resources and a limit; a limit of 0 means none.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// The kinds of objectives.
const (
	ObjectiveFinished  = "finished"  // jobs are done within a time
	ObjectiveDeadline  = "deadline"  // jobs are done by their own deadline, times a factor
	ObjectiveWait      = "wait"      // tasks start within a time
	ObjectiveGuarantee = "guarantee" // work within a team's guarantee starts within a time
)

// Objective is a service-level objective of a class of jobs, at their start or their end.
type Objective struct {
	Kind           string  `toml:"kind"`
	Class          string  `toml:"class"`
	WithinS        float64 `toml:"within_s"`
	Share          float64 `toml:"share"` // of all jobs or tasks that have to keep it
	DeadlineFactor float64 `toml:"times"` // of the job's own deadline
}

// Workers holds the workers' periods.
type Workers struct {
	HeartbeatS float64  `toml:"report_s"` // between two heartbeats
	LeaseS     float64  `toml:"lease_s"`
	CancelS    float64  `toml:"cancel_s"`    // within it a cancelled task must be gone
	GangWaitS  *float64 `toml:"gang_wait_s"` // a gang that is not complete by then ends
	GangPeerS  *float64 `toml:"gang_peer_s"` // within it a gang notices a lost task, and all must be told to stop
}

// StoreLimits holds the state service's limits, and those that it will have from some
// moment on, of which there is no notice.
type StoreLimits struct {
	RPS      float64              `toml:"rps"`       // requests a second
	WriteRPS float64              `toml:"write_rps"` // writes a second
	ValueKB  float64              `toml:"value_kb"`  // size of a value
	TxnOps   int                  `toml:"txn_ops"`   // writes in a transaction
	Next     *UpcomingStoreLimits `toml:"next"`
}

// UpcomingStoreLimits holds limits to come. What is absent stays as it is.
type UpcomingStoreLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Shares of the key-value store's rates that the leader may use. The other controllers share the
// rest evenly. The leader writes most of what is written.
const (
	LeaderRequestShare = 0.5
	LeaderWriteShare   = 0.64
)

// Effective returns limits that hold now and later: as there is no notice of the
// change, everything is written within the smaller ones from the first moment.
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

// stricter returns the lower one of two limits, the second of which may be absent.
func stricter[T int | float64](now T, next *T) T {
	if next == nil {
		return now
	}
	return min(now, *next)
}

// Cloud holds the cloud's limits.
type Cloud struct {
	RPS      float64 `toml:"rps"`        // requests a second
	ListLagS float64 `toml:"list_lag_s"` // by which the list of machines is behind
}

// Limits is what one controller may use of its host.
type Limits struct {
	Cores      float64 `toml:"cores"`
	MemoryMB   float64 `toml:"memory_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// Load reads and checks the platform's file and the operators', if its path is not empty. The
// error names every setting at fault.
func Load(path, operator string) (*Settings, error) {
	var set Settings
	var err error
	if set.Operator, err = LoadOperator(operator); err != nil {
		return nil, err
	}
	if _, err := toml.DecodeFile(path, &set); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	if err := set.check(); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return &set, nil
}

// Team returns the team of that name, and whether there is one.
func (s *Settings) Team(name string) (Team, bool) {
	i := slices.IndexFunc(s.Deployment.Teams, func(t Team) bool { return t.Name == name })
	if i < 0 {
		return Team{}, false
	}
	return s.Deployment.Teams[i], true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

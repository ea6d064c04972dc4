package settings

import "time"

// workerWait is how long a worker waits for the response to a heartbeat, from the protocol.
const workerWait = 4 * time.Second

// clockDrift bounds how far two steady clocks drift apart (the protocol's 0.05%),
// doubled because each of two clocks may be off.
const clockDrift = 0.001

// startGrace is how long a task must not be stopped for its start to count, from the
// protocol.
const startGrace = 30 * time.Second

// maxBegin is by when even the largest jobs must have begun, from the protocol.
const maxBegin = 4 * time.Minute

// Shares of what the state service takes.
const (
	flushWrites = 4.0  // a transaction of the leader comes no sooner than so many writes are to be had
	pollShare   = 0.25 // of all reads, for users' polls
	pollReads   = 2.0  // reads for all polls that wait at a time
	auditShare  = 0.02 // of all reads, for each node's audit
)

// Derived holds every figure computed from the settings, in groups by who uses it. Each is
// a ratio to a figure handed over, so that one program serves deployments of any pace. It
// is a plain value: it never changes after Derive and may be copied.
type Derived struct {
	Workers   WorkerTiming
	Detection FailureDetection
	Election  ElectionTiming
	Leader    LeaderPacing
	Store     StoreBudget
	API       APILimits
	Cloud     CloudPacing
	Host      HostBudget
}

// WorkerTiming is the timing of the controllers' exchange with workers.
type WorkerTiming struct {
	// HeartbeatInterval is the time between two heartbeats of a worker, report_s.
	HeartbeatInterval time.Duration
	// Lease is how long a worker keeps its tasks after its last answered heartbeat was
	// sent, by its own clock: lease_s.
	Lease time.Duration
	// LeaseExpiry is when a worker's lease is over for certain, by any clock but its own:
	// the lease, the drift of two clocks, and a tenth of the heartbeat interval or an
	// eighth of what the cancel deadline leaves, whichever is shorter.
	LeaseExpiry time.Duration
	// CancelDeadline is the time within which a cancelled task must be gone, cancel_s.
	CancelDeadline time.Duration
	// RequestTimeout bounds one request to a worker (commands or a probe): half the
	// heartbeat interval, or half the leadership lease if that is shorter.
	RequestTimeout time.Duration
	// InDoubtTimeout is how long after commands without an answer their outcome is looked
	// into: one heartbeat interval.
	InDoubtTimeout time.Duration
	// AnnounceDelay is how long a new leader waits for a heartbeat of a machine for which
	// it has no commands: 5/4 heartbeat intervals, the longest that a worker takes.
	AnnounceDelay time.Duration
	// GangStopWindow is the time within which all tasks of a gang must be told to stop:
	// gang_peer_s, or half the lease where that is absent.
	GangStopWindow time.Duration
}

// FailureDetection is the timing of the failure detector.
type FailureDetection struct {
	// SuspectAfter is how long a machine may be silent before it is suspected:
	// silentReports heartbeat intervals.
	SuspectAfter time.Duration
	// HeartbeatOverdue is the silence after which a machine has missed a heartbeat,
	// whatever happened to its connection: 5/4 heartbeat intervals, and 5/4 of the time
	// that a worker waits in vain for a response before it tries the next node.
	HeartbeatOverdue time.Duration
	// ZoneSilenceLimit is the silence of a whole zone after which its machines are probed:
	// the heartbeat interval, or the time that a worker waits if that is longer.
	ZoneSilenceLimit time.Duration
	// MaxHold is how long one machine's missing heartbeat can hold all verdicts:
	// holdReports heartbeat intervals.
	MaxHold time.Duration
	// VerdictInterval is the least time between two verdicts in a zone, verdictGapS.
	VerdictInterval time.Duration
}

// ElectionTiming is the timing of the leadership lease in the state service.
type ElectionTiming struct {
	// LeaseDuration is the least of a quarter of the workers' lease, 3/2 heartbeat
	// intervals, and 5/8 of the time that a worker waits for a response.
	LeaseDuration time.Duration
	// RenewInterval is how often the lease is renewed: a fifth of it.
	RenewInterval time.Duration
	// LeaseValidity is how long after a renewal was sent the leader may rely on it: the
	// lease, less the drift of two clocks and a twentieth.
	LeaseValidity time.Duration
}

// LeaderPacing is the leader's own pace.
type LeaderPacing struct {
	// ControlInterval is the period of the control loop: the heartbeat interval, or the
	// leadership lease if that is shorter.
	ControlInterval time.Duration
	// FlushInterval is the least time between two transactions of the leader: that in
	// which flushWrites writes are to be had. In a row, they would spend the write rate on
	// small transactions.
	FlushInterval time.Duration
	// StarvationLimit is after how long a job that was given nothing goes first: half of
	// maxBegin.
	StarvationLimit time.Duration
	// CountedRunTime is how long a task must not be stopped for its start to count, from
	// the protocol.
	CountedRunTime time.Duration
}

// StoreBudget is the timing and the sizes of requests to the state service. Where limits
// to come are announced, all but ChunkTasks keep within these, too.
type StoreBudget struct {
	// RequestTimeout bounds one request: half the leadership lease.
	RequestTimeout time.Duration
	// WatchTimeout is how long one watch waits for changes: an eighth of what the cancel
	// deadline leaves after a worker's lease.
	WatchTimeout time.Duration
	// MaxStaleness is the age of the cache of jobs beyond which the leader answers no
	// worker. A cancellation that it has not seen may outlast that by a whole worker
	// lease; half of the rest of the cancel deadline is kept in hand.
	MaxStaleness time.Duration
	// AuditInterval is the time between two comparisons of all records with what a node
	// knows, auditS; 0 is never.
	AuditInterval time.Duration
	// AuditPagePause is the pause between two pages of one audit: it takes auditShare of
	// all reads.
	AuditPagePause time.Duration
	TxnOps         int // writes in a transaction, at most
	ValueBytes     int // bytes of a value, at most
	// ChunkTasks is how many tasks' completions are kept together: as text, a
	// twenty-fourth of a value. It is the layout of what is stored, so that limits to come
	// must not change it.
	ChunkTasks int
}

// APILimits is what the users' API may spend.
type APILimits struct {
	// RequestTimeout bounds one user's request in all: 2/5 of 4 s, as users wait 2 s for a
	// poll, and 5 s for a submission.
	RequestTimeout time.Duration
	// PollReadInterval is the least time between two reads for users' polls: all nodes
	// together spend pollShare of the reads on them.
	PollReadInterval time.Duration
	// CancellationHistory is how many cancellations each node remembers in order: as many
	// as the state service takes within the cancel deadline.
	CancellationHistory int
	// QueueLength is how many requests may wait at a time: a sixteenth of the sockets, and
	// at least 8.
	QueueLength int
}

// CloudPacing is the timing of requests to the cloud.
type CloudPacing struct {
	RequestTimeout time.Duration // twice the list's lag
	ListInterval   time.Duration // between two reads of the machine list: half of its lag
	ListLag        time.Duration // how far the list may be behind, list_lag_s
	// RentalsInFlight is how many requests for machines may be on their way at a time:
	// half of what the cloud takes in a control interval, and at least 2.
	RentalsInFlight int
}

// HostBudget is what one controller may use of its host.
type HostBudget struct {
	GCBytes     int64 // held memory from which on garbage is collected harder: gcShare of the limit
	RefuseBytes int64 // held memory from which on new jobs are refused: refuseShare of the limit

	ServedConns int // connections of users and workers
	// IdleTimeout is how long one of these is kept without a request: silentReports
	// heartbeat intervals, or half the cancel deadline if that is longer. Users poll and
	// workers report several times in it.
	IdleTimeout      time.Duration
	WorkerConns      int // kept open to workers while idle: a sixteenth of the sockets, at least minIdleConns
	StoreConns       int // kept open to the state service while idle: a sixty-fourth of the sockets
	CloudConns       int // kept open to the cloud while idle
	CommandsInFlight int // requests with commands on their way at a time, and as many probes: 1/32 of the sockets
}

// Derive computes the figures.
func (s *Settings) Derive() Derived {
	election := s.deriveElection()
	leader := s.deriveLeader(election)
	return Derived{
		Workers:   s.deriveWorkers(leader),
		Detection: s.deriveDetection(),
		Election:  election,
		Leader:    leader,
		Store:     s.deriveStore(election),
		API:       s.deriveAPI(),
		Cloud:     s.deriveCloud(leader),
		Host:      s.deriveHost(),
	}
}

// deriveElection bounds the lease so that workers, which may lose up to four seconds on a
// silent node, find the next leader within their own lease. Users notice the gap, too,
// however seldom the workers report.
func (s *Settings) deriveElection() ElectionTiming {
	workers := s.Deployment.Workers
	lease := min(seconds(workers.LeaseS)/4, seconds(workers.HeartbeatS)*3/2, workerWait*5/8)
	return ElectionTiming{
		LeaseDuration: lease,
		RenewInterval: lease / 5,
		LeaseValidity: time.Duration(float64(lease)*(1-clockDrift)) - lease/20,
	}
}

func (s *Settings) deriveLeader(election ElectionTiming) LeaderPacing {
	return LeaderPacing{
		ControlInterval: min(seconds(s.Deployment.Workers.HeartbeatS), election.LeaseDuration),
		FlushInterval:   seconds(flushWrites / s.Deployment.Store.Effective().WriteRPS),
		StarvationLimit: maxBegin / 2,
		CountedRunTime:  startGrace,
	}
}

func (s *Settings) deriveWorkers(leader LeaderPacing) WorkerTiming {
	workers := s.Deployment.Workers
	heartbeat, lease, cancel := seconds(workers.HeartbeatS), seconds(workers.LeaseS), seconds(workers.CancelS)
	return WorkerTiming{
		HeartbeatInterval: heartbeat,
		Lease:             lease,
		LeaseExpiry:       time.Duration(float64(lease)*(1+clockDrift)) + min(heartbeat/10, (cancel-lease)/8),
		CancelDeadline:    cancel,
		RequestTimeout:    leader.ControlInterval / 2,
		InDoubtTimeout:    heartbeat,
		AnnounceDelay:     heartbeat * 5 / 4,
		GangStopWindow:    seconds(valueOr(workers.GangPeerS, workers.LeaseS/2)),
	}
}

func (s *Settings) deriveDetection() FailureDetection {
	heartbeat := seconds(s.Deployment.Workers.HeartbeatS)
	return FailureDetection{
		SuspectAfter:     scaled(heartbeat, s.Operator.SuspectHeartbeats),
		HeartbeatOverdue: heartbeat*5/4 + workerWait*5/4,
		ZoneSilenceLimit: max(heartbeat, workerWait),
		MaxHold:          scaled(heartbeat, s.Operator.HoldHeartbeats),
		VerdictInterval:  seconds(s.Operator.VerdictIntervalS),
	}
}

func (s *Settings) deriveStore(election ElectionTiming) StoreBudget {
	workers := s.Deployment.Workers
	afterLease := seconds(workers.CancelS) - seconds(workers.LeaseS)
	limits := s.Deployment.Store.Effective()
	return StoreBudget{
		RequestTimeout: election.LeaseDuration / 2,
		WatchTimeout:   afterLease / 8,
		MaxStaleness:   afterLease / 2,
		AuditInterval:  seconds(s.Operator.AuditS),
		AuditPagePause: seconds(1 / (auditShare * limits.RPS)),
		TxnOps:         limits.TxnOps,
		ValueBytes:     int(limits.ValueKB * 1024),
		ChunkTasks:     max(64, int(s.Deployment.Store.ValueKB*1024)/4/64*64),
	}
}

func (s *Settings) deriveAPI() APILimits {
	limits := s.Deployment.Store.Effective()
	return APILimits{
		RequestTimeout:      4 * time.Second * 2 / 5,
		PollReadInterval:    seconds(pollReads * float64(s.Deployment.Nodes) / (pollShare * limits.RPS)),
		CancellationHistory: int(limits.WriteRPS * seconds(s.Deployment.Workers.CancelS).Seconds()),
		QueueLength:         max(8, s.Deployment.Limits.MaxSockets/16),
	}
}

func (s *Settings) deriveCloud(leader LeaderPacing) CloudPacing {
	lag := seconds(s.Deployment.Cloud.ListLagS)
	return CloudPacing{
		RequestTimeout:  2 * lag,
		ListInterval:    lag / 2,
		ListLag:         lag,
		RentalsInFlight: max(2, int(s.Deployment.Cloud.RPS*leader.ControlInterval.Seconds()/2)),
	}
}

func (s *Settings) deriveHost() HostBudget {
	limits := s.Deployment.Limits
	heartbeat, cancel := seconds(s.Deployment.Workers.HeartbeatS), seconds(s.Deployment.Workers.CancelS)
	return HostBudget{
		GCBytes:          int64(gcShare * limits.MemoryMB * (1 << 20)),
		RefuseBytes:      int64(refuseShare * limits.MemoryMB * (1 << 20)),
		ServedConns:      limits.servedConns(),
		IdleTimeout:      max(scaled(heartbeat, s.Operator.SuspectHeartbeats), cancel/2),
		WorkerConns:      max(minIdleConns, limits.MaxSockets/16),
		StoreConns:       min(max(minStoreConns, limits.MaxSockets/64), maxStoreConns),
		CloudConns:       cloudConnections,
		CommandsInFlight: max(minCommandsInFlight, limits.MaxSockets/32),
	}
}

func scaled(d time.Duration, ratio float64) time.Duration {
	return time.Duration(float64(d) * ratio)
}

// valueOr is what a setting that may be absent stands for.
func valueOr(v *float64, absent float64) float64 {
	if v == nil {
		return absent
	}
	return *v
}

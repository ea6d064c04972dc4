package settings

import "time"

// workerResponseTimeout is how long a worker waits for the response to a heartbeat, as defined by
// the protocol.
const workerResponseTimeout = 4 * time.Second

// clockDrift bounds the relative drift between two monotonic clocks. The protocol allows each
// clock 0.05%, so two clocks may drift apart by twice that.
const clockDrift = 0.001

// minCountedRunTime is how long a task must run without being stopped for its start to count, as
// defined by the protocol.
const minCountedRunTime = 30 * time.Second

// maxStartDelay is the time within which even the largest jobs must start, as defined by the
// protocol.
const maxStartDelay = 4 * time.Minute

// Shares of the state service's request rates.
const (
	writesPerFlush    = 4.0  // writes that the rate must allow between two transactions of the leader
	pollReadShare     = 0.25 // share of all reads that serves users' polls
	readsPerPollRound = 2.0  // reads that serve all polls waiting at one time
	auditReadShare    = 0.02 // share of all reads for the audit of each controller
)

// Derived holds all durations and limits computed from the settings, grouped by their user.
// They scale with the configured values, so that one program serves deployments with any
// timing. A Derived never changes after Derive returns and may be copied.
type Derived struct {
	Workers   WorkerTiming
	Detection FailureDetection
	Election  ElectionTiming
	Leader    LeaderTiming
	Store     StoreBudget
	API       APILimits
	Cloud     CloudTiming
	Host      HostBudget
}

// WorkerTiming is the timing of the communication between controllers and workers.
type WorkerTiming struct {
	// HeartbeatInterval is the time between two heartbeats of a worker: report_s.
	HeartbeatInterval time.Duration
	// Lease is how long a worker keeps its tasks running after it sent the last heartbeat
	// that got a response, on its own clock: lease_s.
	Lease time.Duration
	// LeaseExpiry is the time after which a worker's lease has certainly expired, on the
	// clock of another machine: the lease, plus the drift of two clocks, plus a tenth of the
	// heartbeat interval or an eighth of the time from the lease to the cancel deadline,
	// whichever is shorter.
	LeaseExpiry time.Duration
	// CancelDeadline is the time within which a cancelled task must have stopped: cancel_s.
	CancelDeadline time.Duration
	// RequestTimeout bounds one request to a worker (commands or a probe): half the
	// heartbeat interval, or half the leadership lease if that is shorter.
	RequestTimeout time.Duration
	// InDoubtTimeout is the time after which the outcome of unanswered commands is
	// investigated: one heartbeat interval.
	InDoubtTimeout time.Duration
	// AnnounceDelay is how long a new leader waits for the heartbeat of a machine for which it
	// has no commands: 5/4 heartbeat intervals, the longest time between two heartbeats of a
	// worker.
	AnnounceDelay time.Duration
	// GangStopWindow is the time within which all tasks of a gang must be told to stop:
	// gang_peer_s, or half the lease if that is not set.
	GangStopWindow time.Duration
}

// FailureDetection is the timing of the failure detector.
type FailureDetection struct {
	// SuspectAfter is the silence after which a machine is suspected: silentReports heartbeat
	// intervals.
	SuspectAfter time.Duration
	// HeartbeatOverdue is the silence after which a machine has missed a heartbeat, even if a
	// request of it got no response: 5/4 heartbeat intervals plus 5/4 of the time that a
	// worker waits for a response before it tries the next controller.
	HeartbeatOverdue time.Duration
	// ZoneSilenceLimit is the silence of a whole zone after which its machines are probed: the
	// heartbeat interval, or the time that a worker waits for a response if that is longer.
	ZoneSilenceLimit time.Duration
	// MaxHold is the longest time for which one machine's missing heartbeat holds all
	// verdicts: holdReports heartbeat intervals.
	MaxHold time.Duration
	// VerdictInterval is the minimum time between two verdicts in a small zone: verdictGapS.
	VerdictInterval time.Duration
}

// ElectionTiming is the timing of the leadership lease in the state service.
type ElectionTiming struct {
	// LeaseDuration is the lifetime of the lease: the shortest of a quarter of the workers'
	// lease, 3/2 heartbeat intervals, and 5/8 of the time that a worker waits for a response.
	LeaseDuration time.Duration
	// RenewInterval is the time between two renewals: a fifth of LeaseDuration.
	RenewInterval time.Duration
	// LeaseValidity is how long the leader may rely on the lease after it sent a renewal:
	// LeaseDuration less the drift of two clocks and a twentieth.
	LeaseValidity time.Duration
}

// LeaderTiming is the timing of the leader's own work.
type LeaderTiming struct {
	// ControlInterval is the period of the control loop: the heartbeat interval, or the
	// leadership lease if that is shorter.
	ControlInterval time.Duration
	// FlushInterval is the minimum time between two transactions of the leader: the time in
	// which the write rate allows writesPerFlush writes. Back-to-back transactions would spend
	// the write rate on small ones.
	FlushInterval time.Duration
	// StarvationLimit is the time without any resources after which a job gets priority: half
	// of maxStartDelay.
	StarvationLimit time.Duration
	// CountedRunTime is how long a task must run without being stopped for its start to
	// count, as defined by the protocol.
	CountedRunTime time.Duration
}

// StoreBudget is the timing and the size limits of requests to the state service. Values that are
// derived from limits of the state service also respect its upcoming limits, except for ChunkTasks.
type StoreBudget struct {
	// RequestTimeout bounds one request: half the leadership lease.
	RequestTimeout time.Duration
	// WatchTimeout is how long one watch waits for changes: an eighth of the time from the
	// expiry of a worker's lease to the cancel deadline.
	WatchTimeout time.Duration
	// MaxStaleness is the age of the job cache beyond which the leader responds to no heartbeats.
	// After that, a task whose cancellation the leader has not seen may run for another worker
	// lease. MaxStaleness is half of what that lease leaves of the cancel deadline; the other
	// half is the safety margin.
	MaxStaleness time.Duration
	// AuditInterval is the time between two comparisons of all records with the state of a
	// controller: auditS. 0 disables audits.
	AuditInterval time.Duration
	// AuditPagePause is the pause between two pages of an audit. It limits the audit to
	// auditReadShare of all reads.
	AuditPagePause time.Duration
	TxnOps         int // maximum number of writes in a transaction
	ValueBytes     int // maximum size of a value in bytes
	// ChunkTasks is the number of tasks whose completions are stored together. Encoded as
	// text, they take up a twenty-fourth of a value. It is part of the layout of stored
	// records, so upcoming limits must not change it.
	ChunkTasks int
}

// APILimits is the timing and the limits of the users' API.
type APILimits struct {
	// RequestTimeout bounds the handling of one request: 2/5 of 4 s, because users wait 2 s for
	// the response to a poll and 5 s for that to a submission.
	RequestTimeout time.Duration
	// PollReadInterval is the minimum time between two reads for users' polls. All controllers
	// together spend pollReadShare of the reads on them.
	PollReadInterval time.Duration
	// CancellationHistory is the number of cancellations that each controller remembers in
	// order: as many as the state service accepts within the cancel deadline.
	CancellationHistory int
	// MaxConcurrentRequests is the maximum number of requests in progress; further ones are
	// rejected. It is a sixteenth of the sockets, and at least 8.
	MaxConcurrentRequests int
}

// CloudTiming is the timing of requests to the cloud.
type CloudTiming struct {
	RequestTimeout time.Duration // twice ListLag
	ListInterval   time.Duration // between two reads of the machine list: half of ListLag
	ListLag        time.Duration // maximum age of the machine list that the cloud returns: list_lag_s
	// MaxProvisionRequestsInFlight is the maximum number of concurrent requests for machines: half of what
	// the cloud accepts in a control interval, and at least 2.
	MaxProvisionRequestsInFlight int
}

// HostBudget holds the limits of what one controller uses of its host.
type HostBudget struct {
	GCBytes     int64 // memory use above which GC is more aggressive: gcShare of the limit
	RefuseBytes int64 // memory use above which new jobs are refused: refuseShare of the limit

	ServedConns int // maximum number of connections from users and workers
	// IdleTimeout is how long a served connection is kept open without a request:
	// silentReports heartbeat intervals, or half the cancel deadline if that is longer. Users
	// poll and workers send heartbeats several times within it.
	IdleTimeout      time.Duration
	WorkerConns      int // idle connections to workers: 1/16 of the sockets, at least minIdleConns
	StoreConns       int // idle connections to the store: 1/64 of the sockets, within bounds
	CloudConns       int // idle connections to the cloud
	CommandsInFlight int // maximum concurrent command requests, and as many probes: 1/32 of the sockets
}

// Derive computes all durations and limits from the settings.
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

// deriveElection keeps the leadership lease short enough that workers find the next leader within
// their own lease, although they may wait up to four seconds for a controller that does not
// respond. The lease does not grow with the heartbeat interval beyond a bound, because users
// notice the gap between two leaders, too.
func (s *Settings) deriveElection() ElectionTiming {
	workers := s.Deployment.Workers
	lease := min(seconds(workers.LeaseS)/4, seconds(workers.HeartbeatS)*3/2, workerResponseTimeout*5/8)
	return ElectionTiming{
		LeaseDuration: lease,
		RenewInterval: lease / 5,
		LeaseValidity: time.Duration(float64(lease)*(1-clockDrift)) - lease/20,
	}
}

func (s *Settings) deriveLeader(election ElectionTiming) LeaderTiming {
	return LeaderTiming{
		ControlInterval: min(seconds(s.Deployment.Workers.HeartbeatS), election.LeaseDuration),
		FlushInterval:   seconds(writesPerFlush / s.Deployment.Store.Effective().WriteRPS),
		StarvationLimit: maxStartDelay / 2,
		CountedRunTime:  minCountedRunTime,
	}
}

func (s *Settings) deriveWorkers(leader LeaderTiming) WorkerTiming {
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
		SuspectAfter:     scaleDuration(heartbeat, s.Operator.SuspectHeartbeats),
		HeartbeatOverdue: heartbeat*5/4 + workerResponseTimeout*5/4,
		ZoneSilenceLimit: max(heartbeat, workerResponseTimeout),
		MaxHold:          scaleDuration(heartbeat, s.Operator.HoldHeartbeats),
		VerdictInterval:  seconds(s.Operator.VerdictIntervalS),
	}
}

func (s *Settings) deriveStore(election ElectionTiming) StoreBudget {
	workers := s.Deployment.Workers
	leaseToCancel := seconds(workers.CancelS) - seconds(workers.LeaseS)
	limits := s.Deployment.Store.Effective()
	return StoreBudget{
		RequestTimeout: election.LeaseDuration / 2,
		WatchTimeout:   leaseToCancel / 8,
		MaxStaleness:   leaseToCancel / 2,
		AuditInterval:  seconds(s.Operator.AuditIntervalS),
		AuditPagePause: seconds(1 / (auditReadShare * limits.RPS)),
		TxnOps:         limits.TxnOps,
		ValueBytes:     int(limits.ValueKB * 1024),
		ChunkTasks:     max(64, int(s.Deployment.Store.ValueKB*1024)/4/64*64),
	}
}

func (s *Settings) deriveAPI() APILimits {
	limits := s.Deployment.Store.Effective()
	return APILimits{
		RequestTimeout:        4 * time.Second * 2 / 5,
		PollReadInterval:      seconds(readsPerPollRound * float64(s.Deployment.ControllerCount) / (pollReadShare * limits.RPS)),
		CancellationHistory:   int(limits.WriteRPS * seconds(s.Deployment.Workers.CancelS).Seconds()),
		MaxConcurrentRequests: max(8, s.Deployment.Limits.MaxSockets/16),
	}
}

func (s *Settings) deriveCloud(leader LeaderTiming) CloudTiming {
	lag := seconds(s.Deployment.Cloud.ListLagS)
	return CloudTiming{
		RequestTimeout:               2 * lag,
		ListInterval:                 lag / 2,
		ListLag:                      lag,
		MaxProvisionRequestsInFlight: max(2, int(s.Deployment.Cloud.RPS*leader.ControlInterval.Seconds()/2)),
	}
}

func (s *Settings) deriveHost() HostBudget {
	limits := s.Deployment.Limits
	heartbeat, cancel := seconds(s.Deployment.Workers.HeartbeatS), seconds(s.Deployment.Workers.CancelS)
	return HostBudget{
		GCBytes:          int64(gcShare * limits.MemoryMB * (1 << 20)),
		RefuseBytes:      int64(refuseShare * limits.MemoryMB * (1 << 20)),
		ServedConns:      limits.servedConns(),
		IdleTimeout:      max(scaleDuration(heartbeat, s.Operator.SuspectHeartbeats), cancel/2),
		WorkerConns:      max(minIdleConns, limits.MaxSockets/16),
		StoreConns:       min(max(minStoreConns, limits.MaxSockets/64), maxStoreConns),
		CloudConns:       idleCloudConns,
		CommandsInFlight: max(minCommandsInFlight, limits.MaxSockets/32),
	}
}

func scaleDuration(d time.Duration, ratio float64) time.Duration {
	return time.Duration(float64(d) * ratio)
}

// valueOr returns *v, or the value absent if v is nil.
func valueOr(v *float64, absent float64) float64 {
	if v == nil {
		return absent
	}
	return *v
}

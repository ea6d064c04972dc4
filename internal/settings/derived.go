package settings

import (
	"fmt"
	"io"
	"reflect"
	"time"
)

// workerWait is how long a worker waits for an answer, from the protocol.
const workerWait = 4 * time.Second

// clockDrift bounds how far two steady clocks drift apart (the protocol's 0.05%),
// doubled because each of two clocks may be off.
const clockDrift = 0.001

// Derived holds every figure computed from the settings. Each is a ratio to a
// figure handed over, so that one program serves deployments of any pace.
type Derived struct {
	Report          time.Duration // a worker's report period
	ControlInterval time.Duration // the leader's own pace: the report period, or the term's lease if that is shorter
	Lease           time.Duration // a worker's lease
	Cancel          time.Duration // time until a cancelled task must be gone

	LeaseOver time.Duration // a worker's lease, as measured by any clock but its own
	SilentFor time.Duration // a machine unheard for so long looks dead
	CallWait  time.Duration // how long a call to a worker may take
	Overdue   time.Duration // unheard for so long, a machine has missed a report, whatever befell it
	// AnnounceAfter is how long a new leader waits for a machine that has nothing to be
	// told to report by itself.
	AnnounceAfter time.Duration
	ZoneSilent    time.Duration // nobody heard of a zone for so long, its machines are called
	HoldGrace     time.Duration // how long one floor can hold all verdicts
	VerdictGap    time.Duration // least time between two verdicts in a zone

	TermLease       time.Duration // the term's lease in the state service
	TermRenew       time.Duration // how often it is renewed
	TermSafe        time.Duration // how long after a renewal was sent the term holds
	WatchStale      time.Duration // a picture of the jobs older than this serves no worker
	WatchWait       time.Duration // how long one watch waits
	StateWait       time.Duration // how long one request to the state service may take
	UserWait        time.Duration // how long one user's request may take in all
	DoubtFor        time.Duration // an order without an answer is cleared up after so long
	CloudWait       time.Duration
	ListEvery       time.Duration
	RentalsInFlight int // requests for machines on their way at a time
	ListLag         time.Duration
	FlushGap        time.Duration // least time between two transactions of the leader
	CancelsKept     int           // cancellations that each node remembers in order
	PollGap         time.Duration // least time between two reads for users' polls
	BeginBy         time.Duration // a job that got nothing for so long goes first
	Audit           time.Duration // between two comparisons of all records with what is known; 0: never
	AuditPause      time.Duration // between two pages of one
	Lasting         time.Duration // a start counts if the task is not stopped for so long

	TxnOps     int
	ValueBytes int
	ChunkTasks int // tasks whose completions are kept together
	// CollectBytes is how much memory is held before garbage is collected harder, and
	// RefuseBytes how much before new jobs are refused.
	CollectBytes, RefuseBytes int64

	ServedConns    int           // of users and workers
	IdleConns      time.Duration // how long one of these is kept without a request
	WorkerConns    int           // kept open to workers while idle
	StateConns     int           // to the state service, kept while idle
	CloudConns     int
	GangPeer       time.Duration // within it all tasks of a gang must hear of its stop
	OrdersInFlight int           // orders on their way at a time, and as many calls
	UserQueue      int
}

// Shares of what the state service takes.
const (
	flushWrites = 4.0  // a transaction of the leader comes no sooner than so many writes are to be had
	pollShare   = 0.25 // of all reads, for users' polls
	pollReads   = 2.0  // reads for all polls that wait at a time
	auditShare  = 0.02 // of all reads, for each node's audit
)

// largestBegin is by when even the largest jobs must have begun, from the protocol.
const largestBegin = 4 * time.Minute

// lasting is how long a task must not be stopped for its start to count, from the
// protocol.
const lasting = 30 * time.Second

func times(d time.Duration, ratio float64) time.Duration {
	return time.Duration(float64(d) * ratio)
}

// Derive computes the figures.
func (s *Settings) Derive() Derived {
	d := &s.Deployment
	report, lease, cancel := seconds(d.Workers.ReportS), seconds(d.Workers.LeaseS), seconds(d.Workers.CancelS)
	// The next leader has to be found by workers that may lose up to four
	// seconds on a silent node, and all of that within their lease. Users notice
	// the gap, too, however seldom the workers report.
	term := min(lease/4, report*3/2, workerWait*5/8)
	interval := min(report, term)
	lag := seconds(d.Cloud.ListLagS)
	store := d.State.Within()
	value := int(store.ValueKB * 1024)
	return Derived{
		Report:          report,
		ControlInterval: interval,
		Lease:           lease,
		Cancel:          cancel,

		LeaseOver: time.Duration(float64(lease)*(1+clockDrift)) + min(report/10, (cancel-lease)/8),
		SilentFor: times(report, s.Operator.SilentReports),
		// A period and its quarter, and a worker that waited for an answer in
		// vain and goes on to the next node.
		Overdue: report*5/4 + workerWait*5/4,
		// A period and its quarter.
		AnnounceAfter: report * 5 / 4,
		ZoneSilent:    max(report, workerWait),
		CallWait:      min(report, term) / 2,
		HoldGrace:     times(report, s.Operator.HoldReports),
		VerdictGap:    seconds(s.Operator.VerdictGapS),

		TermLease: term,
		TermRenew: term / 5,
		TermSafe:  time.Duration(float64(term)*(1-clockDrift)) - term/20,
		// A cancellation that the leader has not seen may outlast its own
		// picture by a whole worker lease; half of the rest is kept in hand.
		WatchStale:      (cancel - lease) / 2,
		WatchWait:       (cancel - lease) / 8,
		StateWait:       term / 2,
		UserWait:        4 * time.Second * 2 / 5, // polls wait 2 s, submissions 5 s
		DoubtFor:        report,
		CloudWait:       2 * lag,
		ListEvery:       lag / 2,
		RentalsInFlight: max(2, int(d.Cloud.RPS*interval.Seconds()/2)),
		ListLag:         lag,

		// Transactions in a row would spend the write rate on small ones.
		FlushGap: seconds(flushWrites / store.WriteRPS),
		// All nodes together spend a part of the reads on polls.
		PollGap: seconds(pollReads * float64(d.Nodes) / (pollShare * store.RPS)),
		// As many as the state service takes in the time that a cancellation has.
		CancelsKept: int(store.WriteRPS * cancel.Seconds()),
		BeginBy:     largestBegin / 2,
		GangPeer:    seconds(or(d.Workers.GangPeerS, d.Workers.LeaseS/2)),
		Lasting:     lasting,
		Audit:       seconds(s.Operator.AuditS),
		AuditPause:  seconds(1 / (auditShare * store.RPS)),

		TxnOps:     store.TxnOps,
		ValueBytes: value,
		// As text, a twenty-fourth of a value. It is the layout of what is stored, so
		// that limits to come must not change it.
		ChunkTasks: max(64, int(d.State.ValueKB*1024)/4/64*64),

		CollectBytes: int64(collectShare * d.Limits.MemoryMB * (1 << 20)),
		RefuseBytes:  int64(refuseShare * d.Limits.MemoryMB * (1 << 20)),

		ServedConns: d.Limits.servedConns(),
		// Users poll and workers report several times in it.
		IdleConns:      max(times(report, s.Operator.SilentReports), cancel/2),
		WorkerConns:    max(leastIdle, d.Limits.MaxSockets/16),
		StateConns:     min(max(leastState, d.Limits.MaxSockets/64), mostState),
		CloudConns:     cloudConns,
		OrdersInFlight: max(leastOrders, d.Limits.MaxSockets/32),
		UserQueue:      max(8, d.Limits.MaxSockets/16),
	}
}

// or is what a setting that may be absent stands for.
func or(v *float64, absent float64) float64 {
	if v == nil {
		return absent
	}
	return *v
}

// Print writes the figures, one a line.
func (d Derived) Print(w io.Writer) error {
	v := reflect.ValueOf(d)
	for i := range v.NumField() {
		if _, err := fmt.Fprintf(w, "%-12s %v\n", v.Type().Field(i).Name, v.Field(i).Interface()); err != nil {
			return err
		}
	}
	return nil
}

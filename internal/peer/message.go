package peer

import (
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/recovery/detection"
)

// Bounds of a message. What one may make this process hold in memory is maxMessage bytes;
// the others keep the kinds of message whose size depends on the cluster well below that.
const (
	maxMessage       = 1 << 20
	maxChanges       = maxMessage / 256 // in one LeaderUpdate
	maxCancellations = maxMessage / 128 // in one LeaseGrantResponse
	maxLostJobsBytes = maxMessage / 4   // in one LostJobsResponse
)

// message is one decoded message; exactly one of the fields after from is set.
type message struct {
	from               string // name of the controller that sent it
	leaderUpdate       *LeaderUpdate
	leaseGrantRequest  *leaseGrantRequest
	leaseGrantResponse *leaseGrantResponse
	lostJobsRequest    *lostJobsRequest
	lostJobsResponse   *lostJobsResponse
	lossNotice         *detection.Evidence
}

// LeaderUpdate is what a leader broadcasts with every round of its loop.
type LeaderUpdate struct {
	// JobCounts are the task counts of all unfinished jobs that have any, by job ID.
	JobCounts map[string]jobs.Counts
	// StoreAvailable tells that the key-value store answers the leader.
	StoreAvailable bool
	// ComparingRecords tells that records may be lost, and are being compared: a job without
	// a record must not be taken for one that was never accepted.
	ComparingRecords bool
	// KnownJobs is how many jobs the leader knows.
	KnownJobs int
	// RecordsRolledBack tells that records may say less than users were told.
	RecordsRolledBack bool
	// RestoringRecords tells that lost records are being written again.
	RestoringRecords bool
	// Changes are those of job records since the last update, oldest first. If the store loses
	// them and the leader ends, the other controllers still know.
	Changes []JobChange
}

// JobChange is what a job's record has come to say.
type JobChange struct {
	ID    string
	State string
	Tasks int
}

// LeaseGrantRequest is how a leader that can not reach the key-value store asks another
// controller not to take over leadership for a while.
type LeaseGrantRequest struct {
	FencingToken uint64 // of the asking leader
	// SeenRevision is up to which revision of the store the leader has seen all changes of
	// jobs; 0 if it does not say.
	SeenRevision uint64
}

// LeaseGrantResponse is the response to a LeaseGrantRequest.
type LeaseGrantResponse struct {
	// Granted tells that the controller does not take over leadership for a while.
	Granted bool
	// CancellationsComplete tells that Cancellations are all that the controller may have told
	// a user of and that are newer than what the leader has seen.
	CancellationsComplete bool
	Cancellations         []jobs.Cancellation
}

// LostJobsRequest asks another controller for jobs of which it knows more than the records
// in the key-value store say.
type LostJobsRequest struct {
	// ComparisonRound is the leader's comparison that this belongs to: in a new one the other
	// controller first compares all records with what it knows. 0 asks only for a summary: how
	// much the other controller knows, and whether it has noticed a loss.
	ComparisonRound uint64
	// AfterID asks for jobs whose ID is greater than this one.
	AfterID string
}

// LostJobsResponse is one page of a controller's lost jobs, or its summary.
type LostJobsResponse struct {
	// Compared tells that the controller has compared the records with what it knows: all of
	// them in a comparison round, the newest that it knows for a summary.
	Compared bool
	More     bool // there are jobs after the last of Jobs
	Jobs     []LostJob
	// KnownJobs is how many jobs the controller knows.
	KnownJobs int
	// LossNoticed tells that the controller has noticed lost records.
	LossNoticed bool
	// NewestRevision is the newest revision of the store that it has read.
	NewestRevision uint64
	// ReliesOnNoGrant tells that the controller, since its process started, neither leads
	// nor may come to act by a lease that it took: no grant to it has to be kept. A version
	// that does not know the field leaves it false.
	ReliesOnNoGrant bool
}

// LostJob is a job of which a controller knows more than its record says.
type LostJob struct {
	ID     string
	State  string
	Tasks  int
	Record []byte // as JSON; nil if the controller does not know the job's description
}

// The numbered forms add to a request the number that its response repeats.
type (
	leaseGrantRequest struct {
		number uint64
		LeaseGrantRequest
	}
	leaseGrantResponse struct {
		number uint64
		LeaseGrantResponse
	}
	lostJobsRequest struct {
		number uint64
		LostJobsRequest
	}
	lostJobsResponse struct {
		number uint64
		LostJobsResponse
	}
)

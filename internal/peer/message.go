package peer

import (
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/recovery/detection"
)

// Limits of a message. maxMessageBytes bounds the memory that one message can make this process
// allocate. The others keep the messages that grow with the cluster well below it.
const (
	maxMessageBytes  = 1 << 20
	maxChanges       = maxMessageBytes / 256 // per LeaderUpdate
	maxCancellations = maxMessageBytes / 128 // per LeaseGrantResponse
	maxLostJobsBytes = maxMessageBytes / 4   // per LostJobsResponse
)

// message is a decoded message. Exactly one of the fields after from is set.
type message struct {
	from               string // name of the controller that sent it
	leaderUpdate       *LeaderUpdate
	leaseGrantRequest  *leaseGrantRequest
	leaseGrantResponse *leaseGrantResponse
	lostJobsRequest    *lostJobsRequest
	lostJobsResponse   *lostJobsResponse
	lossNotice         *detection.Evidence
}

// LeaderUpdate is the status that the leader broadcasts periodically.
type LeaderUpdate struct {
	// JobCounts are the task counts of all unfinished jobs that have any, by job ID.
	JobCounts map[string]jobs.TaskCounts
	// StoreAvailable reports whether the key-value store is available to the leader.
	StoreAvailable bool
	// ComparingRecords reports whether records may be lost and are being compared. Until that is
	// done, a job without a record must not be treated as never accepted.
	ComparingRecords bool
	// KnownJobs is the number of jobs that the leader knows.
	KnownJobs int
	// RecordsRolledBack reports whether records may be older than what users were told.
	RecordsRolledBack bool
	// RestoringRecords reports whether lost records are being written back. Until that is done, a
	// controller that does not know a job must not say that there is no such job.
	RestoringRecords bool
	// Changes lists the changes of job records since the last update, oldest first. The other
	// controllers then still know them if the store loses them and the leader fails.
	Changes []JobChange
}

// JobChange is the new state of a changed job record, with the number of tasks of the job.
type JobChange struct {
	ID    string
	State string
	Tasks int
}

// LeaseGrantRequest is sent by a leader that cannot reach the key-value store. It asks another
// controller for a peer lease, during which that controller does not campaign.
type LeaseGrantRequest struct {
	FencingToken uint64 // of the requesting leader
	// SeenRevision is the revision of the store up to which the leader has seen all changes of
	// jobs; 0 if unknown.
	SeenRevision uint64
}

// LeaseGrantResponse is the response to a LeaseGrantRequest.
type LeaseGrantResponse struct {
	// Granted reports whether the controller granted the peer lease.
	Granted bool
	// CancellationsComplete reports whether Cancellations lists every cancellation that is newer
	// than SeenRevision and that the controller may have confirmed to a user.
	CancellationsComplete bool
	Cancellations         []jobs.Cancellation
}

// LostJobsRequest asks another controller for the jobs about which it knows more than their records
// in the key-value store contain.
type LostJobsRequest struct {
	// ComparisonRound identifies the leader's comparison of records. In a new round the other
	// controller first compares all records with what it knows. 0 requests only a summary: how
	// much the other controller knows, and whether it has noticed a loss.
	ComparisonRound uint64
	// AfterID limits the response to jobs with a greater ID.
	AfterID string
}

// LostJobsResponse is one page of a controller's lost jobs, or its summary.
type LostJobsResponse struct {
	// Compared reports whether the controller has compared the records with what it knows: all
	// records in a comparison round, the newest that it knows for a summary.
	Compared bool
	More     bool // there are lost jobs after the last one of Jobs
	Jobs     []LostJob
	// KnownJobs is the number of jobs that the controller knows.
	KnownJobs int
	// LossNoticed reports whether the controller has noticed lost records.
	LossNoticed bool
	// NewestRevision is the newest revision of the store that the controller has read.
	NewestRevision uint64
	// ReliesOnNoGrant reports whether the controller, in its current incarnation, neither leads
	// nor may still act on a lease that it acquired, so that no grant to it has to be kept. A version
	// that does not know the field leaves it false.
	ReliesOnNoGrant bool
}

// LostJob is a job about which a controller knows more than the job's record contains.
type LostJob struct {
	ID     string
	State  string
	Tasks  int
	Record []byte // JSON; nil if the controller does not know the job's description
}

// These types add to a request or response the number that matches them: a response repeats the
// number of its request.
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

package peer

import (
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/recovery/detection"
)

// maxMessage bounds what one message may make this node hold in memory.
const maxMessage = 1 << 20

// message is one decoded message; one of its parts is set.
type message struct {
	from             string
	leaderUpdate     *LeaderUpdate
	promiseRequest   *promiseRequest
	promiseResponse  *promiseResponse
	lostJobsRequest  *lostJobsRequest
	lostJobsResponse *lostJobsResponse
	lossNotice       *detection.Loss
}

// LeaderUpdate is what a leader publishes.
type LeaderUpdate struct {
	JobCounts      map[string]jobs.Counts
	StoreAvailable bool // the state service answers the leader
	// ComparingRecords tells that records may be lost, and are being compared.
	ComparingRecords  bool
	KnownJobs         int  // jobs that the leader knows
	RecordsRolledBack bool // records may say less than users were told
	RestoringRecords  bool // lost records are being written again
	Changes           []JobChange
}

// JobChange is what a job's record has come to say.
type JobChange struct {
	ID    string
	State string
	Tasks int
}

// maxChanges bounds a message well below what it may be.
const maxChanges = maxMessage / 256

type promiseRequest struct {
	number, fencingToken uint64
	seenRevision         uint64 // the asker's picture of the jobs has all changes up to this revision
}

// PromiseResponse is a node's answer to the holder of the term.
type PromiseResponse struct {
	Granted bool // it keeps from taking the term for a while
	// CancellationsComplete tells that the cancellations are all that the node may have told a
	// user of and that are newer than what the holder has seen.
	CancellationsComplete bool
	Cancellations         []jobs.Cancellation
}

type promiseResponse struct {
	number uint64
	PromiseResponse
}

// maxCancellations bounds a promise well below what a message may be.
const maxCancellations = maxMessage / 128

// LostJob is a job of which a controller knows more than the state service.
type LostJob struct {
	ID     string
	State  string
	Tasks  int
	Record []byte // as JSON, if this node has its description
}

// LostJobsResponse is a part of a controller's lost jobs.
type LostJobsResponse struct {
	Compared bool // it has compared all records with what it knows
	More     bool
	Jobs     []LostJob
	// KnownJobs is how many jobs it knows, and Noticed tells that it has noticed a loss.
	KnownJobs      int
	LossNoticed    bool
	NewestRevision uint64 // revision of the state service that it has read
	// ReliesOnNoPromise tells that it neither holds the term nor may come to act by one that
	// it took in its present life. An earlier version does not say so.
	ReliesOnNoPromise bool
}

// LostJobsRequest is the leader's, for jobs of which another controller knows more than the state
// service.
type LostJobsRequest struct {
	ComparisonRound uint64 // of comparison; 0 asks only what the other has noticed and how much it knows
	AfterID         string // jobs in the order of their ids after this one
}

type lostJobsRequest struct {
	number uint64
	LostJobsRequest
}

type lostJobsResponse struct {
	number uint64
	LostJobsResponse
}

// maxLostJobsBytes bounds a page well below what a message may be.
const maxLostJobsBytes = maxMessage / 4

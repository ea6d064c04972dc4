package peer

import (
	"slices"

	flatbuffers "github.com/google/flatbuffers/go"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/peer/wire"
	"ospreyslip/internal/recovery/detection"
)

// Estimated sizes, in bytes, for the initial capacity of a builder, which grows as needed.
const (
	messageBytes      = 128
	jobCountsBytes    = 64
	cancellationBytes = 48
	lostJobBytes      = 64
)

// finishMessage wraps a body in a message and returns the message with its size prefix.
func finishMessage(b *flatbuffers.Builder, from string, kind wire.Body, body flatbuffers.UOffsetT) []byte {
	name := b.CreateString(from)
	wire.MessageStart(b)
	wire.MessageAddFrom(b, name)
	wire.MessageAddBodyType(b, kind)
	wire.MessageAddBody(b, body)
	b.FinishSizePrefixed(wire.MessageEnd(b))
	return b.FinishedBytes()
}

// endVector writes the rows of a vector that has been started, last row first, because a builder
// writes from back to front.
func endVector(b *flatbuffers.Builder, rows []flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	for _, row := range slices.Backward(rows) {
		b.PrependUOffsetT(row)
	}
	return b.EndVector(len(rows))
}

func encodeLeaderUpdate(from string, update LeaderUpdate) []byte {
	b := flatbuffers.NewBuilder(jobCountsBytes * (1 + len(update.JobCounts)))
	counts := encodeJobCounts(b, update.JobCounts)
	changes := encodeChanges(b, update.Changes)
	wire.ProgressStart(b)
	wire.ProgressAddJobs(b, counts)
	wire.ProgressAddChanges(b, changes)
	wire.ProgressAddServed(b, update.StoreAvailable)
	wire.ProgressAddUncertain(b, update.ComparingRecords)
	wire.ProgressAddKnown(b, uint64(max(0, update.KnownJobs)))
	wire.ProgressAddPutBack(b, update.RecordsRolledBack)
	wire.ProgressAddRestoring(b, update.RestoringRecords)
	return finishMessage(b, from, wire.BodyProgress, wire.ProgressEnd(b))
}

func encodeJobCounts(b *flatbuffers.Builder, counts map[string]jobs.TaskCounts) flatbuffers.UOffsetT {
	rows := make([]flatbuffers.UOffsetT, 0, len(counts))
	for jobID, c := range counts {
		id := b.CreateString(jobID)
		wire.JobCountsStart(b)
		wire.JobCountsAddId(b, id)
		wire.JobCountsAddDone(b, uint32(c.Done))
		wire.JobCountsAddRunning(b, uint32(c.Running))
		rows = append(rows, wire.JobCountsEnd(b))
	}
	wire.ProgressStartJobsVector(b, len(rows))
	return endVector(b, rows)
}

// encodeChanges writes changes, or only the newest maxChanges if there are more.
func encodeChanges(b *flatbuffers.Builder, changes []JobChange) flatbuffers.UOffsetT {
	if len(changes) == 0 {
		return 0 // omits the field
	}
	changes = changes[max(0, len(changes)-maxChanges):]
	rows := make([]flatbuffers.UOffsetT, 0, len(changes))
	for _, change := range changes {
		id, state := b.CreateString(change.ID), b.CreateSharedString(change.State)
		wire.JobChangeStart(b)
		wire.JobChangeAddId(b, id)
		wire.JobChangeAddState(b, state)
		wire.JobChangeAddTasks(b, uint32(max(0, change.Tasks)))
		rows = append(rows, wire.JobChangeEnd(b))
	}
	wire.ProgressStartChangesVector(b, len(rows))
	return endVector(b, rows)
}

func encodeLeaseGrantRequest(from string, request leaseGrantRequest) []byte {
	b := flatbuffers.NewBuilder(messageBytes)
	wire.AskStart(b)
	wire.AskAddNumber(b, request.number)
	wire.AskAddToken(b, request.FencingToken)
	wire.AskAddSeen(b, request.SeenRevision)
	return finishMessage(b, from, wire.BodyAsk, wire.AskEnd(b))
}

// encodeLeaseGrantResponse encodes a response. If there are too many cancellations for one message,
// it omits all of them and marks them as incomplete.
func encodeLeaseGrantResponse(from string, response leaseGrantResponse) []byte {
	if len(response.Cancellations) > maxCancellations {
		response.CancellationsComplete, response.Cancellations = false, nil
	}
	b := flatbuffers.NewBuilder(messageBytes + cancellationBytes*len(response.Cancellations))
	var cancellations flatbuffers.UOffsetT
	if response.CancellationsComplete {
		cancellations = encodeCancellations(b, response.Cancellations)
	}
	wire.PromiseStart(b)
	wire.PromiseAddNumber(b, response.number)
	wire.PromiseAddGiven(b, response.Granted)
	wire.PromiseAddComplete(b, response.CancellationsComplete)
	wire.PromiseAddCancellations(b, cancellations)
	return finishMessage(b, from, wire.BodyPromise, wire.PromiseEnd(b))
}

func encodeCancellations(b *flatbuffers.Builder, cancellations []jobs.Cancellation) flatbuffers.UOffsetT {
	rows := make([]flatbuffers.UOffsetT, 0, len(cancellations))
	for _, c := range cancellations {
		job := b.CreateString(c.Job)
		wire.CancellationStart(b)
		wire.CancellationAddJob(b, job)
		wire.CancellationAddRevision(b, c.Revision)
		rows = append(rows, wire.CancellationEnd(b))
	}
	wire.PromiseStartCancellationsVector(b, len(rows))
	return endVector(b, rows)
}

func encodeLostJobsRequest(from string, request lostJobsRequest) []byte {
	b := flatbuffers.NewBuilder(messageBytes)
	after := b.CreateString(request.AfterID)
	wire.LostAskStart(b)
	wire.LostAskAddNumber(b, request.number)
	wire.LostAskAddRound(b, request.ComparisonRound)
	wire.LostAskAddAfter(b, after)
	return finishMessage(b, from, wire.BodyLostAsk, wire.LostAskEnd(b))
}

// encodeLostJobsResponse encodes a response. If there are too many jobs for one message, it omits the
// rest and sets More.
func encodeLostJobsResponse(from string, response lostJobsResponse) []byte {
	b := flatbuffers.NewBuilder(messageBytes + lostJobBytes*len(response.Jobs))
	rows := make([]flatbuffers.UOffsetT, 0, len(response.Jobs))
	for _, job := range response.Jobs {
		if b.Offset() > maxLostJobsBytes {
			response.More = true
			break
		}
		rows = append(rows, encodeLostJob(b, job))
	}
	wire.LostPageStartJobsVector(b, len(rows))
	lostJobs := endVector(b, rows)
	wire.LostPageStart(b)
	wire.LostPageAddNumber(b, response.number)
	wire.LostPageAddReady(b, response.Compared)
	wire.LostPageAddMore(b, response.More)
	wire.LostPageAddJobs(b, lostJobs)
	wire.LostPageAddKnown(b, uint64(max(0, response.KnownJobs)))
	wire.LostPageAddNoticed(b, response.LossNoticed)
	wire.LostPageAddNewest(b, response.NewestRevision)
	wire.LostPageAddReliesOnNothing(b, response.ReliesOnNoGrant)
	return finishMessage(b, from, wire.BodyLostPage, wire.LostPageEnd(b))
}

func encodeLostJob(b *flatbuffers.Builder, job LostJob) flatbuffers.UOffsetT {
	id, state := b.CreateString(job.ID), b.CreateString(job.State)
	record := b.CreateByteVector(job.Record)
	wire.LostJobStart(b)
	wire.LostJobAddId(b, id)
	wire.LostJobAddState(b, state)
	wire.LostJobAddTasks(b, uint32(max(0, job.Tasks)))
	wire.LostJobAddRecord(b, record)
	return wire.LostJobEnd(b)
}

func encodeLossNotice(from string, loss detection.Evidence) []byte {
	b := flatbuffers.NewBuilder(messageBytes)
	kind, key := b.CreateString(string(loss.Kind)), b.CreateString(loss.Key)
	wire.LossNoticeStart(b)
	wire.LossNoticeAddKind(b, kind)
	wire.LossNoticeAddKey(b, key)
	return finishMessage(b, from, wire.BodyLossNotice, wire.LossNoticeEnd(b))
}

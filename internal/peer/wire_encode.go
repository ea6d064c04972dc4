package peer

import (
	"slices"

	flatbuffers "github.com/google/flatbuffers/go"

	"ospreyslip/internal/peer/wire"
	"ospreyslip/internal/recovery/detection"
)

func finishMessage(b *flatbuffers.Builder, from string, kind wire.Body, body flatbuffers.UOffsetT) []byte {
	name := b.CreateString(from)
	wire.MessageStart(b)
	wire.MessageAddFrom(b, name)
	wire.MessageAddBodyType(b, kind)
	wire.MessageAddBody(b, body)
	b.FinishSizePrefixed(wire.MessageEnd(b))
	return b.FinishedBytes()
}

func encodeLeaderUpdate(from string, p LeaderUpdate) []byte {
	b := flatbuffers.NewBuilder(64 * (1 + len(p.JobCounts)))
	rows := make([]flatbuffers.UOffsetT, 0, len(p.JobCounts))
	for id, c := range p.JobCounts {
		key := b.CreateString(id)
		wire.JobCountsStart(b)
		wire.JobCountsAddId(b, key)
		wire.JobCountsAddDone(b, uint32(c.Done))
		wire.JobCountsAddRunning(b, uint32(c.Running))
		rows = append(rows, wire.JobCountsEnd(b))
	}
	wire.ProgressStartJobsVector(b, len(rows))
	for _, r := range rows {
		b.PrependUOffsetT(r)
	}
	vector := b.EndVector(len(rows))
	changes := encodeChanges(b, p.Changes)
	wire.ProgressStart(b)
	wire.ProgressAddJobs(b, vector)
	wire.ProgressAddChanges(b, changes)
	wire.ProgressAddServed(b, p.StoreAvailable)
	wire.ProgressAddUncertain(b, p.ComparingRecords)
	wire.ProgressAddKnown(b, uint64(max(0, p.KnownJobs)))
	wire.ProgressAddPutBack(b, p.RecordsRolledBack)
	wire.ProgressAddRestoring(b, p.RestoringRecords)
	return finishMessage(b, from, wire.BodyProgress, wire.ProgressEnd(b))
}

// encodeChanges writes changes, the newest of them if they are too many.
func encodeChanges(b *flatbuffers.Builder, changes []JobChange) flatbuffers.UOffsetT {
	if len(changes) == 0 {
		return 0 // the field is left out
	}
	changes = changes[max(0, len(changes)-maxChanges):]
	rows := make([]flatbuffers.UOffsetT, 0, len(changes))
	for _, c := range changes {
		id, state := b.CreateString(c.ID), b.CreateSharedString(c.State)
		wire.JobChangeStart(b)
		wire.JobChangeAddId(b, id)
		wire.JobChangeAddState(b, state)
		wire.JobChangeAddTasks(b, uint32(max(0, c.Tasks)))
		rows = append(rows, wire.JobChangeEnd(b))
	}
	wire.ProgressStartChangesVector(b, len(rows))
	for _, r := range slices.Backward(rows) {
		b.PrependUOffsetT(r)
	}
	return b.EndVector(len(rows))
}

func encodePromiseRequest(from string, a promiseRequest) []byte {
	b := flatbuffers.NewBuilder(128)
	wire.AskStart(b)
	wire.AskAddNumber(b, a.number)
	wire.AskAddToken(b, a.fencingToken)
	wire.AskAddSeen(b, a.seenRevision)
	return finishMessage(b, from, wire.BodyAsk, wire.AskEnd(b))
}

func encodePromiseResponse(from string, p promiseResponse) []byte {
	if len(p.Cancellations) > maxCancellations {
		p.CancellationsComplete, p.Cancellations = false, nil
	}
	b := flatbuffers.NewBuilder(128 + 48*len(p.Cancellations))
	var vector flatbuffers.UOffsetT
	if p.CancellationsComplete {
		rows := make([]flatbuffers.UOffsetT, 0, len(p.Cancellations))
		for _, c := range p.Cancellations {
			job := b.CreateString(c.Job)
			wire.CancellationStart(b)
			wire.CancellationAddJob(b, job)
			wire.CancellationAddRevision(b, c.Revision)
			rows = append(rows, wire.CancellationEnd(b))
		}
		wire.PromiseStartCancellationsVector(b, len(rows))
		for _, r := range slices.Backward(rows) {
			b.PrependUOffsetT(r)
		}
		vector = b.EndVector(len(rows))
	}
	wire.PromiseStart(b)
	wire.PromiseAddNumber(b, p.number)
	wire.PromiseAddGiven(b, p.Granted)
	wire.PromiseAddComplete(b, p.CancellationsComplete)
	wire.PromiseAddCancellations(b, vector)
	return finishMessage(b, from, wire.BodyPromise, wire.PromiseEnd(b))
}

func encodeLostJobsRequest(from string, a lostJobsRequest) []byte {
	b := flatbuffers.NewBuilder(128)
	after := b.CreateString(a.AfterID)
	wire.LostAskStart(b)
	wire.LostAskAddNumber(b, a.number)
	wire.LostAskAddRound(b, a.ComparisonRound)
	wire.LostAskAddAfter(b, after)
	return finishMessage(b, from, wire.BodyLostAsk, wire.LostAskEnd(b))
}

// encodeLostJobsResponse writes a page, or as much of it as one message may hold.
func encodeLostJobsResponse(from string, p lostJobsResponse) []byte {
	b := flatbuffers.NewBuilder(128 + 64*len(p.Jobs))
	rows := make([]flatbuffers.UOffsetT, 0, len(p.Jobs))
	for _, j := range p.Jobs {
		if b.Offset() > maxLostJobsBytes {
			p.More = true
			break
		}
		rows = append(rows, encodeLostJob(b, j))
	}
	wire.LostPageStartJobsVector(b, len(rows))
	for _, r := range slices.Backward(rows) {
		b.PrependUOffsetT(r)
	}
	vector := b.EndVector(len(rows))
	wire.LostPageStart(b)
	wire.LostPageAddNumber(b, p.number)
	wire.LostPageAddReady(b, p.Compared)
	wire.LostPageAddMore(b, p.More)
	wire.LostPageAddJobs(b, vector)
	wire.LostPageAddKnown(b, uint64(max(0, p.KnownJobs)))
	wire.LostPageAddNoticed(b, p.LossNoticed)
	wire.LostPageAddNewest(b, p.NewestRevision)
	wire.LostPageAddReliesOnNothing(b, p.ReliesOnNoPromise)
	return finishMessage(b, from, wire.BodyLostPage, wire.LostPageEnd(b))
}

func encodeLostJob(b *flatbuffers.Builder, j LostJob) flatbuffers.UOffsetT {
	id, state := b.CreateString(j.ID), b.CreateString(j.State)
	record := b.CreateByteVector(j.Record)
	wire.LostJobStart(b)
	wire.LostJobAddId(b, id)
	wire.LostJobAddState(b, state)
	wire.LostJobAddTasks(b, uint32(max(0, j.Tasks)))
	wire.LostJobAddRecord(b, record)
	return wire.LostJobEnd(b)
}

func encodeLossNotice(from string, l detection.Loss) []byte {
	b := flatbuffers.NewBuilder(128)
	kind, key := b.CreateString(string(l.Kind)), b.CreateString(l.Key)
	wire.LossNoticeStart(b)
	wire.LossNoticeAddKind(b, kind)
	wire.LossNoticeAddKey(b, key)
	return finishMessage(b, from, wire.BodyLossNotice, wire.LossNoticeEnd(b))
}

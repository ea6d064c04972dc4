package peer

import (
	"errors"
	"fmt"
	"slices"

	flatbuffers "github.com/google/flatbuffers/go"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/peer/wire"
	"ospreyslip/internal/recovery/detection"
)

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

// decode reads a message without its size prefix. FlatBuffers has no check of
// its own in Go: what is out of bounds panics, and that is turned into an error.
func decode(raw []byte) (m message, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("malformed message: %v", r)
		}
	}()
	in := wire.GetRootAsMessage(raw, 0)
	m.from = string(in.From())
	var body flatbuffers.Table
	if !in.Body(&body) {
		return m, errors.New("message without a body")
	}
	switch in.BodyType() {
	case wire.BodyProgress:
		m.leaderUpdate, err = decodeLeaderUpdate(body, len(raw)/flatbuffers.SizeUOffsetT)
	case wire.BodyAsk:
		var a wire.Ask
		a.Init(body.Bytes, body.Pos)
		m.promiseRequest = &promiseRequest{a.Number(), a.Token(), a.Seen()}
	case wire.BodyPromise:
		var p wire.Promise
		p.Init(body.Bytes, body.Pos)
		if p.CancellationsLength() > len(raw)/flatbuffers.SizeUOffsetT {
			return m, errTooManyRows
		}
		m.promiseResponse = &promiseResponse{p.Number(), PromiseResponse{Granted: p.Given(), CancellationsComplete: p.Complete()}}
		var row wire.Cancellation
		for i := range p.CancellationsLength() {
			if p.Cancellations(&row, i) {
				m.promiseResponse.Cancellations = append(m.promiseResponse.Cancellations, jobs.Cancellation{Job: string(row.Job()), Revision: row.Revision()})
			}
		}
	case wire.BodyLostAsk:
		var a wire.LostAsk
		a.Init(body.Bytes, body.Pos)
		m.lostJobsRequest = &lostJobsRequest{a.Number(), LostJobsRequest{a.Round(), string(a.After())}}
	case wire.BodyLostPage:
		m.lostJobsResponse, err = decodeLostJobsResponse(body, len(raw)/flatbuffers.SizeUOffsetT)
	case wire.BodyLossNotice:
		m.lossNotice = decodeLossNotice(body)
	default:
		return m, fmt.Errorf("unknown kind of message %d", in.BodyType())
	}
	return m, err
}

// decodeLeaderUpdate reads a leader's word. A length is only a number in the message: a broken one
// must not make this node set memory aside for it.
func decodeLeaderUpdate(body flatbuffers.Table, most int) (*LeaderUpdate, error) {
	var in wire.Progress
	in.Init(body.Bytes, body.Pos)
	if in.JobsLength() > most || in.ChangesLength() > most {
		return nil, errTooManyRows
	}
	p := &LeaderUpdate{
		JobCounts: make(map[string]jobs.Counts, in.JobsLength()), StoreAvailable: in.Served(), ComparingRecords: in.Uncertain(),
		KnownJobs: int(in.Known()), RecordsRolledBack: in.PutBack(), RestoringRecords: in.Restoring(),
	}
	var row wire.JobCounts
	for i := range in.JobsLength() {
		if in.Jobs(&row, i) {
			p.JobCounts[string(row.Id())] = jobs.Counts{Done: int(row.Done()), Running: int(row.Running())}
		}
	}
	var change wire.JobChange
	for i := range in.ChangesLength() {
		if in.Changes(&change, i) {
			p.Changes = append(p.Changes, JobChange{ID: string(change.Id()), State: string(change.State()), Tasks: int(change.Tasks())})
		}
	}
	return p, nil
}

// errTooManyRows refuses a broken length before memory is set aside for it.
var errTooManyRows = errors.New("more rows than the message can hold")

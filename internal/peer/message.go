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
	from     string
	progress *Progress
	ask      *ask
	promise  *promise
	lostAsk  *lostAsk
	lostPage *lostPage
	loss     *detection.Loss
}

// Progress is what a leader publishes.
type Progress struct {
	Counts map[string]jobs.Counts
	Served bool // the state service answers the leader
	// Uncertain tells that records may be lost, and are being compared.
	Uncertain bool
	Known     int  // jobs that the leader knows
	PutBack   bool // records may say less than users were told
	Restoring bool // lost records are being written again
	Changes   []JobChange
}

// JobChange is what a job's record has come to say.
type JobChange struct {
	ID    string
	State string
	Tasks int
}

// mostChanges bounds a message well below what it may be.
const mostChanges = maxMessage / 256

type ask struct {
	number, token uint64
	seen          uint64 // the asker's picture of the jobs has all changes up to this revision
}

// Promise is a node's answer to the holder of the term.
type Promise struct {
	Given bool // it keeps from taking the term for a while
	// Complete tells that the cancellations are all that the node may have told a
	// user of and that are newer than what the holder has seen.
	Complete      bool
	Cancellations []jobs.Cancellation
}

type promise struct {
	number uint64
	Promise
}

// mostCancellations bounds a promise well below what a message may be.
const mostCancellations = maxMessage / 128

func finish(b *flatbuffers.Builder, from string, kind wire.Body, body flatbuffers.UOffsetT) []byte {
	name := b.CreateString(from)
	wire.MessageStart(b)
	wire.MessageAddFrom(b, name)
	wire.MessageAddBodyType(b, kind)
	wire.MessageAddBody(b, body)
	b.FinishSizePrefixed(wire.MessageEnd(b))
	return b.FinishedBytes()
}

func encodeProgress(from string, p Progress) []byte {
	b := flatbuffers.NewBuilder(64 * (1 + len(p.Counts)))
	rows := make([]flatbuffers.UOffsetT, 0, len(p.Counts))
	for id, c := range p.Counts {
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
	wire.ProgressAddServed(b, p.Served)
	wire.ProgressAddUncertain(b, p.Uncertain)
	wire.ProgressAddKnown(b, uint64(max(0, p.Known)))
	wire.ProgressAddPutBack(b, p.PutBack)
	wire.ProgressAddRestoring(b, p.Restoring)
	return finish(b, from, wire.BodyProgress, wire.ProgressEnd(b))
}

// encodeChanges writes changes, the newest of them if they are too many.
func encodeChanges(b *flatbuffers.Builder, changes []JobChange) flatbuffers.UOffsetT {
	if len(changes) == 0 {
		return 0 // the field is left out
	}
	changes = changes[max(0, len(changes)-mostChanges):]
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

func encodeAsk(from string, a ask) []byte {
	b := flatbuffers.NewBuilder(128)
	wire.AskStart(b)
	wire.AskAddNumber(b, a.number)
	wire.AskAddToken(b, a.token)
	wire.AskAddSeen(b, a.seen)
	return finish(b, from, wire.BodyAsk, wire.AskEnd(b))
}

func encodePromise(from string, p promise) []byte {
	if len(p.Cancellations) > mostCancellations {
		p.Complete, p.Cancellations = false, nil
	}
	b := flatbuffers.NewBuilder(128 + 48*len(p.Cancellations))
	var vector flatbuffers.UOffsetT
	if p.Complete {
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
	wire.PromiseAddGiven(b, p.Given)
	wire.PromiseAddComplete(b, p.Complete)
	wire.PromiseAddCancellations(b, vector)
	return finish(b, from, wire.BodyPromise, wire.PromiseEnd(b))
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
		m.progress, err = decodeProgress(body, len(raw)/flatbuffers.SizeUOffsetT)
	case wire.BodyAsk:
		var a wire.Ask
		a.Init(body.Bytes, body.Pos)
		m.ask = &ask{a.Number(), a.Token(), a.Seen()}
	case wire.BodyPromise:
		var p wire.Promise
		p.Init(body.Bytes, body.Pos)
		if p.CancellationsLength() > len(raw)/flatbuffers.SizeUOffsetT {
			return m, errTooManyRows
		}
		m.promise = &promise{p.Number(), Promise{Given: p.Given(), Complete: p.Complete()}}
		var row wire.Cancellation
		for i := range p.CancellationsLength() {
			if p.Cancellations(&row, i) {
				m.promise.Cancellations = append(m.promise.Cancellations, jobs.Cancellation{Job: string(row.Job()), Revision: row.Revision()})
			}
		}
	case wire.BodyLostAsk:
		var a wire.LostAsk
		a.Init(body.Bytes, body.Pos)
		m.lostAsk = &lostAsk{a.Number(), LostJobsRequest{a.Round(), string(a.After())}}
	case wire.BodyLostPage:
		m.lostPage, err = decodeLostPage(body, len(raw)/flatbuffers.SizeUOffsetT)
	case wire.BodyLossNotice:
		m.loss = decodeLossNotice(body)
	default:
		return m, fmt.Errorf("unknown kind of message %d", in.BodyType())
	}
	return m, err
}

// decodeProgress reads a leader's word. A length is only a number in the message: a broken one
// must not make this node set memory aside for it.
func decodeProgress(body flatbuffers.Table, most int) (*Progress, error) {
	var in wire.Progress
	in.Init(body.Bytes, body.Pos)
	if in.JobsLength() > most || in.ChangesLength() > most {
		return nil, errTooManyRows
	}
	p := &Progress{
		Counts: make(map[string]jobs.Counts, in.JobsLength()), Served: in.Served(), Uncertain: in.Uncertain(),
		Known: int(in.Known()), PutBack: in.PutBack(), Restoring: in.Restoring(),
	}
	var row wire.JobCounts
	for i := range in.JobsLength() {
		if in.Jobs(&row, i) {
			p.Counts[string(row.Id())] = jobs.Counts{Done: int(row.Done()), Running: int(row.Running())}
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

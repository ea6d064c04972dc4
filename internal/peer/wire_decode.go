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

func decodeLostJobsResponse(body flatbuffers.Table, most int) (*lostJobsResponse, error) {
	var p wire.LostPage
	p.Init(body.Bytes, body.Pos)
	if p.JobsLength() > most {
		return nil, errTooManyRows
	}
	page := &lostJobsResponse{p.Number(), LostJobsResponse{
		Compared: p.Ready(), More: p.More(), KnownJobs: int(p.Known()), LossNoticed: p.Noticed(), NewestRevision: p.Newest(),
		ReliesOnNoPromise: p.ReliesOnNothing(),
	}}
	var row wire.LostJob
	for i := range p.JobsLength() {
		if p.Jobs(&row, i) {
			page.Jobs = append(page.Jobs, LostJob{
				ID: string(row.Id()), State: string(row.State()), Tasks: int(row.Tasks()), Record: slices.Clone(row.RecordBytes()),
			})
		}
	}
	return page, nil
}

func decodeLossNotice(body flatbuffers.Table) *detection.Loss {
	var n wire.LossNotice
	n.Init(body.Bytes, body.Pos)
	return &detection.Loss{Kind: detection.Kind(n.Kind()), Key: string(n.Key())}
}

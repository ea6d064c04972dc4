package peer

import (
	"fmt"
	"slices"

	flatbuffers "github.com/google/flatbuffers/go"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/peer/wire"
	"ospreyslip/internal/recovery/detection"
)

// decode decodes a message without its size prefix. FlatBuffers has no verifier for Go, and an access
// out of bounds panics; decode returns such a panic as ErrMalformedMessage.
func decode(raw []byte) (decoded message, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrMalformedMessage, r)
		}
	}()
	envelope := wire.GetRootAsMessage(raw, 0)
	decoded.from = string(envelope.From())
	var body flatbuffers.Table
	if !envelope.Body(&body) {
		return decoded, errNoBody
	}
	// The length of a vector is only a number in the message. A corrupt one must not make this
	// process allocate memory for it. Each row takes at least one offset.
	maxRows := len(raw) / flatbuffers.SizeUOffsetT
	switch envelope.BodyType() {
	case wire.BodyProgress:
		decoded.leaderUpdate, err = decodeLeaderUpdate(body, maxRows)
	case wire.BodyAsk:
		decoded.leaseGrantRequest = decodeLeaseGrantRequest(body)
	case wire.BodyPromise:
		decoded.leaseGrantResponse, err = decodeLeaseGrantResponse(body, maxRows)
	case wire.BodyLostAsk:
		decoded.lostJobsRequest = decodeLostJobsRequest(body)
	case wire.BodyLostPage:
		decoded.lostJobsResponse, err = decodeLostJobsResponse(body, maxRows)
	case wire.BodyLossNotice:
		decoded.lossNotice = decodeLossNotice(body)
	default:
		return decoded, &unknownBodyError{envelope.BodyType()}
	}
	return decoded, err
}

func decodeLeaderUpdate(body flatbuffers.Table, maxRows int) (*LeaderUpdate, error) {
	var table wire.Progress
	table.Init(body.Bytes, body.Pos)
	if table.JobsLength() > maxRows || table.ChangesLength() > maxRows {
		return nil, errVectorTooLong
	}
	update := &LeaderUpdate{
		JobCounts:         make(map[string]jobs.TaskCounts, table.JobsLength()),
		StoreAvailable:    table.Served(),
		ComparingRecords:  table.Uncertain(),
		KnownJobs:         int(table.Known()),
		RecordsRolledBack: table.PutBack(),
		RestoringRecords:  table.Restoring(),
	}
	var counts wire.JobCounts
	for i := range table.JobsLength() {
		if table.Jobs(&counts, i) {
			update.JobCounts[string(counts.Id())] = jobs.TaskCounts{Done: int(counts.Done()), Running: int(counts.Running())}
		}
	}
	var change wire.JobChange
	for i := range table.ChangesLength() {
		if table.Changes(&change, i) {
			update.Changes = append(update.Changes, JobChange{ID: string(change.Id()), State: string(change.State()), Tasks: int(change.Tasks())})
		}
	}
	return update, nil
}

func decodeLeaseGrantRequest(body flatbuffers.Table) *leaseGrantRequest {
	var table wire.Ask
	table.Init(body.Bytes, body.Pos)
	return &leaseGrantRequest{table.Number(), LeaseGrantRequest{FencingToken: table.Token(), SeenRevision: table.Seen()}}
}

func decodeLeaseGrantResponse(body flatbuffers.Table, maxRows int) (*leaseGrantResponse, error) {
	var table wire.Promise
	table.Init(body.Bytes, body.Pos)
	if table.CancellationsLength() > maxRows {
		return nil, errVectorTooLong
	}
	response := &leaseGrantResponse{table.Number(), LeaseGrantResponse{Granted: table.Given(), CancellationsComplete: table.Complete()}}
	var row wire.Cancellation
	for i := range table.CancellationsLength() {
		if table.Cancellations(&row, i) {
			response.Cancellations = append(response.Cancellations, jobs.Cancellation{Job: string(row.Job()), Revision: row.Revision()})
		}
	}
	return response, nil
}

func decodeLostJobsRequest(body flatbuffers.Table) *lostJobsRequest {
	var table wire.LostAsk
	table.Init(body.Bytes, body.Pos)
	return &lostJobsRequest{table.Number(), LostJobsRequest{ComparisonRound: table.Round(), AfterID: string(table.After())}}
}

func decodeLostJobsResponse(body flatbuffers.Table, maxRows int) (*lostJobsResponse, error) {
	var table wire.LostPage
	table.Init(body.Bytes, body.Pos)
	if table.JobsLength() > maxRows {
		return nil, errVectorTooLong
	}
	response := &lostJobsResponse{table.Number(), LostJobsResponse{
		Compared:        table.Ready(),
		More:            table.More(),
		KnownJobs:       int(table.Known()),
		LossNoticed:     table.Noticed(),
		NewestRevision:  table.Newest(),
		ReliesOnNoGrant: table.ReliesOnNothing(),
	}}
	var row wire.LostJob
	for i := range table.JobsLength() {
		if table.Jobs(&row, i) {
			response.Jobs = append(response.Jobs, LostJob{
				ID: string(row.Id()), State: string(row.State()), Tasks: int(row.Tasks()), Record: slices.Clone(row.RecordBytes()),
			})
		}
	}
	return response, nil
}

func decodeLossNotice(body flatbuffers.Table) *detection.Evidence {
	var table wire.LossNotice
	table.Init(body.Bytes, body.Pos)
	return &detection.Evidence{Kind: detection.Kind(table.Kind()), Key: string(table.Key())}
}

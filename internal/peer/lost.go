package peer

import (
	"context"
	"errors"
	"fmt"
	"slices"

	flatbuffers "github.com/google/flatbuffers/go"

	"ospreyslip/internal/peer/wire"
	"ospreyslip/internal/recovery/detection"
)

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

// ErrNoResponse means that a controller did not answer, as it is away or of a version that
// does not know the question.
var ErrNoResponse = errors.New("no answer")

// Peers returns the names of all other controllers, in order.
func (h *Hub) Peers() []string {
	names := make([]string, 0, len(h.links))
	for name := range h.links {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// RequestLostJobs asks another controller for jobs of which it knows more than the state service.
func (h *Hub) RequestLostJobs(ctx context.Context, node string, q LostJobsRequest) (LostJobsResponse, error) {
	l := h.links[node]
	if l == nil {
		return LostJobsResponse{}, fmt.Errorf("unknown node %q", node)
	}
	reply := make(chan LostJobsResponse, 1)
	h.mu.Lock()
	h.requestNumber++
	number := h.requestNumber
	h.pendingLostJobs[number] = reply
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.pendingLostJobs, number)
	}()
	select {
	case l.outbox <- encodeLostJobsRequest(h.node, lostJobsRequest{number, q}):
	default:
		return LostJobsResponse{}, ErrNoResponse
	}
	select {
	case p := <-reply:
		return p, nil
	case <-ctx.Done():
		return LostJobsResponse{}, ErrNoResponse
	}
}

// SendLossNotice tells another controller what shows that records are lost. Should that not
// arrive, the next evidence may.
func (h *Hub) SendLossNotice(node string, l detection.Loss) {
	if link := h.links[node]; link != nil {
		select {
		case link.outbox <- encodeLossNotice(h.node, l):
		default:
		}
	}
}

// deliverResponse hands the answer to a question to who asked it.
func (h *Hub) deliverResponse(m message) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case m.promiseResponse != nil:
		if reply := h.pendingPromises[m.promiseResponse.number]; reply != nil {
			delete(h.pendingPromises, m.promiseResponse.number)
			reply <- m.promiseResponse.PromiseResponse
		}
	case m.lostJobsResponse != nil:
		if reply := h.pendingLostJobs[m.lostJobsResponse.number]; reply != nil {
			delete(h.pendingLostJobs, m.lostJobsResponse.number)
			reply <- m.lostJobsResponse.LostJobsResponse
		}
	default:
		return errors.New("unexpected message")
	}
	return nil
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

func encodeLossNotice(from string, l detection.Loss) []byte {
	b := flatbuffers.NewBuilder(128)
	kind, key := b.CreateString(string(l.Kind)), b.CreateString(l.Key)
	wire.LossNoticeStart(b)
	wire.LossNoticeAddKind(b, kind)
	wire.LossNoticeAddKey(b, key)
	return finishMessage(b, from, wire.BodyLossNotice, wire.LossNoticeEnd(b))
}

func decodeLossNotice(body flatbuffers.Table) *detection.Loss {
	var n wire.LossNotice
	n.Init(body.Bytes, body.Pos)
	return &detection.Loss{Kind: detection.Kind(n.Kind()), Key: string(n.Key())}
}

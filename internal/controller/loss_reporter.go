package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery/detection"
)

// lossQueueSize is how much evidence waits to be handed on. More tells nothing new.
const lossQueueSize = 64

// lossReporter hands evidence of lost records to the leader, and answers the leader's
// questions for what this node knows.
type lossReporter struct {
	noticed chan detection.Loss
	told    time.Time   // when the leader was last told, owned by the duty
	unsure  atomic.Bool // the leader says that records are being compared
	writing atomic.Bool // the leader says that lost records are being written again

	mu     sync.Mutex
	round  uint64 // of comparison, the last that was asked about
	ticket uint64 // of this node's own comparison in it
}

func newLossReporter() *lossReporter {
	return &lossReporter{noticed: make(chan detection.Loss, lossQueueSize)}
}

// notice takes in evidence. It is called in the midst of other duties and never waits.
func (d *lossReporter) notice(l detection.Loss) {
	select {
	case d.noticed <- l:
	default:
	}
}

// reportLosses hands evidence on until the context ends.
func (n *Controller) reportLosses(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-n.lossReporter.noticed:
			n.reportLoss(l)
		}
	}
}

// reportLoss hands evidence to the leader, here or elsewhere. Another is told once in a
// while only: it compares all records anyway.
func (n *Controller) reportLoss(l detection.Loss) {
	if n.gate.Noticed(l) {
		return
	}
	n.cache.Suspect(time.Now().Add(n.derived.Cancel))
	leader := n.elector.Leader()
	if leader == "" || leader == n.settings.Node || time.Since(n.lossReporter.told) < n.derived.TermLease {
		return
	}
	n.lossReporter.told = time.Now()
	n.peers.SendLossNotice(leader, l)
}

// answerLostJobsRequest answers the leader's question for jobs of which this node knows more than the
// state service. In a new round, all records are compared with that first.
func (n *Controller) answerLostJobsRequest(q peer.LostJobsRequest) peer.LostJobsResponse {
	if q.ComparisonRound == 0 {
		// Who asks compares with what this node knows: that has to be in the records still.
		fresh := time.Since(n.cache.WitnessesChecked()) < n.derived.TermRenew
		if !fresh {
			n.cache.CheckWitnesses()
		}
		return peer.LostJobsResponse{
			Compared: fresh, KnownJobs: n.cache.Jobs(), NewestRevision: n.cache.Newest(), LossNoticed: n.cache.Suspected() || n.cache.LostJobs() > 0,
			ReliesOnNoPromise: n.elector.ReliesOnNothing(),
		}
	}
	n.lossReporter.mu.Lock()
	if n.lossReporter.round != q.ComparisonRound {
		n.lossReporter.round, n.lossReporter.ticket = q.ComparisonRound, n.cache.Verify()
	}
	ticket := n.lossReporter.ticket
	n.lossReporter.mu.Unlock()
	if !n.cache.Verified(ticket) {
		return peer.LostJobsResponse{}
	}
	lost, more := n.cache.Lost(q.AfterID, maxLostJobsPerResponse)
	page := peer.LostJobsResponse{Compared: true, More: more}
	for _, l := range lost {
		page.Jobs = append(page.Jobs, peer.LostJob{ID: l.ID, State: l.State, Tasks: l.Tasks, Record: n.cache.Unfinished(l.ID)})
	}
	return page
}

// maxLostJobsPerResponse is how many lost jobs are in one answer to the leader.
const maxLostJobsPerResponse = 500

// followRecovery takes in whether the leader is comparing records, or writing lost ones again.
// Until they are written, this node may not know of a job, or know less than others.
func (n *Controller) followRecovery(p peer.LeaderUpdate) {
	n.cache.PutBack(p.RecordsRolledBack)
	compared := n.lossReporter.unsure.Swap(p.ComparingRecords) && !p.ComparingRecords
	written := n.lossReporter.writing.Swap(p.RestoringRecords) && !p.RestoringRecords
	if compared || written || !p.ComparingRecords && !n.cache.SawAll() {
		n.cache.Compared()
	}
	if p.ComparingRecords || p.RestoringRecords {
		n.cache.Suspect(time.Now().Add(n.derived.Cancel))
	}
}

package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"ospreyslip/internal/autoscaler"
	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/workers"
)

// Shares of what the state service takes from all nodes together. The parts of
// all nodes stay within the whole: the leader writes most of what is written.
const (
	leaderWriteShare   = 0.64
	leaderRequestShare = 0.5
	cloudRequestShare  = 0.8
	// gcPercent is by how many percent the heap may grow between two collections:
	// memory, within its limit, is cheaper here than processor time.
	gcPercent = 300
)

// Controller is one controller.
type Controller struct {
	settings      *settings.Settings
	derived       settings.Derived
	store         *kvstore.Client
	cache         *jobs.Cache
	cloud         *autoscaler.Cloud
	workers       *workers.Client
	elector       *election.Keeper
	gate          *leader.Gate
	jobCounts     *leader.Counts
	peers         *peer.Hub
	operatorConns *connQueue
	memory        *memoryLimit
	lossReporter  *lossReporter
	born          time.Time
	served        atomic.Int64 // when, since born, the leader last said that the state service answers it
	heard         atomic.Int64 // when, since born, a leader was last heard of, this node included
	catalog       atomic.Pointer[[]jobs.MachineType]

	listenForUsers, listenForPeers func(addr string) (net.Listener, error)
}

// Environment is how a node reaches others; nil fields mean the real network.
type Environment struct {
	HTTP   http.RoundTripper
	Dial   peer.Dial
	Listen func(addr string) (net.Listener, error)
	Memory func() uint64 // what this process holds, in bytes
}

// New makes a node from checked settings.
func New(set *settings.Settings, w Environment) *Controller {
	d := set.Derive()
	pick := func(each, all int, wait time.Duration) http.RoundTripper {
		if w.HTTP != nil {
			return w.HTTP
		}
		return transport(each, all, wait)
	}
	if w.Dial == nil {
		w.Dial = dialPeer
	}
	users, cluster := w.Listen, w.Listen
	if w.Listen == nil {
		users, cluster = listenForUsers, listenForPeers
	}
	n := &Controller{settings: set, derived: d, listenForUsers: users, listenForPeers: cluster, born: time.Now(), jobCounts: leader.NewCounts(), gate: &leader.Gate{}}
	n.workers = workers.NewClient(pick(2, d.WorkerConns, d.CallWait), d.CallWait)
	n.store = kvstore.New(set.Endpoints.State, pick(d.StateConns, 0, d.StateWait), d.StateWait, n.storeBudget(false))
	n.cache = jobs.NewCache(n.store, d.PollGap, d.Cancel/4, d.Cancel, d.CancelsKept)
	n.elector = election.NewKeeper(set.Node, n.store, election.Timing{
		Lease: d.TermLease, Renew: d.TermRenew, Safe: d.TermSafe, WatchWait: d.WatchWait, Retry: d.TermRenew,
	})
	n.peers = peer.NewHub(set.Node, set.Peers, w.Dial, d.TermRenew)
	n.operatorConns = newConnQueue()
	n.lossReporter = newLossReporter()
	n.cache.OnLoss = n.lossReporter.notice
	n.elector.Lost = func(l detection.Loss) {
		n.cache.Suspect(time.Now().Add(d.Cancel)) // before the term ends, and with it what its leader knows
		n.lossReporter.notice(l)
	}
	n.peers.OnLostJobsRequest = n.answerLostJobsRequest
	n.peers.OnLossNotice = func(_ string, l detection.Loss) {
		if !l.Kind.AffectsLog() {
			l.Kind = detection.ReportedByPeer
		}
		n.gate.Noticed(l)
	}
	if w.Memory == nil {
		w.Memory = memoryInUse
	}
	n.memory = &memoryLimit{limitBytes: uint64(d.RefuseBytes), inUseBytes: w.Memory}
	n.peers.OnHTTP = n.operatorConns.enqueue
	n.peers.OnPromiseRequest = n.answerPromiseRequest
	n.peers.OnLeaderUpdate = func(from string, p peer.LeaderUpdate) {
		if n.elector.Valid() {
			return
		}
		n.jobCounts.Replace(p.JobCounts)
		for _, c := range p.Changes {
			n.cache.Hear(c.ID, c.State, c.Tasks)
		}
		n.followRecovery(p)
		n.cache.Expect(p.KnownJobs, p.ComparingRecords)
		n.heard.Store(time.Since(n.born).Nanoseconds())
		if p.StoreAvailable {
			n.served.Store(time.Since(n.born).Nanoseconds())
		}
	}
	if len(set.Peers) == set.Deployment.Nodes-1 {
		n.elector.AllPromise = n.requestPromises
		n.elector.NobodyRelies = n.noPeerRelies
	}
	n.cloud = autoscaler.NewCloud(set.Endpoints.Cloud, pick(d.CloudConns, 0, d.CloudWait), d.CloudWait, set.Deployment.Cloud.RPS*cloudRequestShare)
	return n
}

// Run serves until the context ends.
func (n *Controller) Run(ctx context.Context) error {
	// One thread at a time is all that a share of a core can use.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(n.derived.CollectBytes)

	ln, err := n.listenForUsers(n.settings.Listen)
	if err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	cluster, err := n.listenForPeers(n.settings.ClusterListen)
	if err != nil {
		return fmt.Errorf("cluster_listen: %w", err)
	}
	served := newConnLimiter(n.derived.ServedConns)
	srv := &http.Server{
		Handler:           n.Handler(),
		ConnState:         served.connStateChanged,
		ReadHeaderTimeout: n.derived.UserWait * 2,
		ReadTimeout:       n.derived.UserWait * 4,
		IdleTimeout:       n.derived.IdleConns,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	slog.Info("serving", "node", n.settings.Node, "zone", n.settings.Zone, "bind", n.settings.Listen)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		err := srv.Serve(netutil.LimitListener(yieldingListener{ln}, n.derived.ServedConns))
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	g.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.derived.UserWait)
		defer cancel()
		return srv.Shutdown(stop)
	})
	g.Go(func() error { n.RunDuties(ctx, cluster); return nil })
	return g.Wait()
}

// Handler serves users and workers.
func (n *Controller) Handler() http.Handler {
	mux := http.NewServeMux()
	users := &jobs.API{Settings: n.settings, Derived: n.derived, Store: n.store, Cache: n.cache, Catalog: n.machineTypes, Counts: n.jobCounts.Get, Ready: n.ready, Room: n.memory.hasRoom}
	users.Register(mux)
	reports := &workers.Handler{Answer: n.gate.Report, Leader: func() string {
		if l := n.elector.Leader(); l != n.settings.Node {
			return l
		}
		return ""
	}}
	reports.Register(mux)
	return mux
}

// RunDuties does the long-lived duties until the context ends.
func (n *Controller) RunDuties(ctx context.Context, cluster net.Listener) {
	deps := leader.Deps{
		Settings: n.settings, Derived: n.derived, Store: n.store, Cloud: n.cloud,
		Workers: n.workers, Valid: n.elector.Valid, Promised: n.elector.Promised, Raised: n.elector.Raised, Publish: n.broadcastUpdate, Catalog: n.machineTypes, Counts: n.jobCounts,
		Cache: n.cache, Peers: n.peers, Node: n.settings.Node,
	}
	var duties sync.WaitGroup
	duties.Go(func() { n.peers.Run(ctx, cluster) })
	duties.Go(func() { n.serveOperators(ctx) })
	duties.Go(func() { n.refreshCatalog(ctx) })
	duties.Go(func() { n.cache.Run(ctx) })
	duties.Go(func() { n.reportLosses(ctx) })
	duties.Go(func() { n.confirmAfterStart(ctx) })
	duties.Go(func() { n.confirmAfterOutages(ctx) })
	duties.Go(func() { n.cache.Audit(ctx, n.derived.Audit, n.derived.AuditPause) })
	duties.Go(func() { n.memory.watch(ctx, n.derived.TermRenew) })
	duties.Go(func() {
		n.elector.Run(ctx, func(ctx context.Context, t election.Term) {
			n.store.SetBudget(n.storeBudget(true))
			defer n.store.SetBudget(n.storeBudget(false))
			n.gate.Lead(ctx, deps, t)
		})
	})
	duties.Wait()
}

// Package controller puts one controller together.
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
	leaderWrites   = 0.64
	leaderRequests = 0.5
	cloudShare     = 0.8
	// collectAt is by how many percent the heap may grow between two collections:
	// memory, within its limit, is cheaper here than processor time.
	collectAt = 300
)

// Controller is one controller.
type Controller struct {
	set     *settings.Settings
	d       settings.Derived
	store   *kvstore.Client
	cache   *jobs.Cache
	cloud   *autoscaler.Cloud
	workers *workers.Client
	keeper  *election.Keeper
	gate    *leader.Gate
	counts  *leader.Counts
	hub     *peer.Hub
	debug   *handed
	memory  *memoryGauge
	losses  *lossDesk
	born    time.Time
	served  atomic.Int64 // when, since born, the leader last said that the state service answers it
	heard   atomic.Int64 // when, since born, a leader was last heard of, this node included
	catalog atomic.Pointer[[]jobs.MachineType]

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
	n := &Controller{set: set, d: d, listenForUsers: users, listenForPeers: cluster, born: time.Now(), counts: leader.NewCounts(), gate: &leader.Gate{}}
	n.workers = workers.NewClient(pick(2, d.WorkerConns, d.CallWait), d.CallWait)
	n.store = kvstore.New(set.Endpoints.State, pick(d.StateConns, 0, d.StateWait), d.StateWait, n.budget(false))
	n.cache = jobs.NewCache(n.store, d.PollGap, d.Cancel/4, d.Cancel, d.CancelsKept)
	n.keeper = election.NewKeeper(set.Node, n.store, election.Timing{
		Lease: d.TermLease, Renew: d.TermRenew, Safe: d.TermSafe, WatchWait: d.WatchWait, Retry: d.TermRenew,
	})
	n.hub = peer.NewHub(set.Node, set.Peers, w.Dial, d.TermRenew)
	n.debug = newHanded()
	n.losses = newLossDesk()
	n.cache.OnLoss = n.losses.notice
	n.keeper.Lost = func(l detection.Loss) {
		n.cache.Suspect(time.Now().Add(d.Cancel)) // before the term ends, and with it what its leader knows
		n.losses.notice(l)
	}
	n.hub.Lost = n.lostPage
	n.hub.Noticed = func(_ string, l detection.Loss) {
		if !l.Kind.AffectsLog() {
			l.Kind = detection.ReportedByPeer
		}
		n.gate.Noticed(l)
	}
	if w.Memory == nil {
		w.Memory = heldBytes
	}
	n.memory = &memoryGauge{most: uint64(d.RefuseBytes), held: w.Memory}
	n.hub.HTTP = n.debug.take
	n.hub.Promise = n.promise
	n.hub.Progress = func(from string, p peer.Progress) {
		if n.keeper.Valid() {
			return
		}
		n.counts.Replace(p.Counts)
		for _, c := range p.Changes {
			n.cache.Hear(c.ID, c.State, c.Tasks)
		}
		n.leaderIsUnsure(p)
		n.cache.Expect(p.Known, p.Uncertain)
		n.heard.Store(time.Since(n.born).Nanoseconds())
		if p.Served {
			n.served.Store(time.Since(n.born).Nanoseconds())
		}
	}
	if len(set.Peers) == set.Deployment.Nodes-1 {
		n.keeper.AllPromise = n.allPromise
		n.keeper.NobodyRelies = n.nobodyRelies
	}
	n.cloud = autoscaler.NewCloud(set.Endpoints.Cloud, pick(d.CloudConns, 0, d.CloudWait), d.CloudWait, set.Deployment.Cloud.RPS*cloudShare)
	return n
}

// Run serves until the context ends.
func (n *Controller) Run(ctx context.Context) error {
	// One thread at a time is all that a share of a core can use.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(n.d.CollectBytes)

	ln, err := n.listenForUsers(n.set.Listen)
	if err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	cluster, err := n.listenForPeers(n.set.ClusterListen)
	if err != nil {
		return fmt.Errorf("cluster_listen: %w", err)
	}
	served := newConns(n.d.ServedConns)
	srv := &http.Server{
		Handler:           n.Handler(),
		ConnState:         served.changed,
		ReadHeaderTimeout: n.d.UserWait * 2,
		ReadTimeout:       n.d.UserWait * 4,
		IdleTimeout:       n.d.IdleConns,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	slog.Info("serving", "node", n.set.Node, "zone", n.set.Zone, "bind", n.set.Listen)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		err := srv.Serve(netutil.LimitListener(turns{ln}, n.d.ServedConns))
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	g.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.d.UserWait)
		defer cancel()
		return srv.Shutdown(stop)
	})
	g.Go(func() error { n.Work(ctx, cluster); return nil })
	return g.Wait()
}

// Handler serves users and workers.
func (n *Controller) Handler() http.Handler {
	mux := http.NewServeMux()
	users := &jobs.API{Settings: n.set, Derived: n.d, Store: n.store, Cache: n.cache, Catalog: n.types, Counts: n.counts.Get, Ready: n.ready, Room: n.memory.room}
	users.Register(mux)
	reports := &workers.Handler{Answer: n.gate.Report, Leader: func() string {
		if l := n.keeper.Leader(); l != n.set.Node {
			return l
		}
		return ""
	}}
	reports.Register(mux)
	return mux
}

// Work does the long-lived duties until the context ends.
func (n *Controller) Work(ctx context.Context, cluster net.Listener) {
	deps := leader.Deps{
		Settings: n.set, Derived: n.d, Store: n.store, Cloud: n.cloud,
		Workers: n.workers, Valid: n.keeper.Valid, Promised: n.keeper.Promised, Raised: n.keeper.Raised, Publish: n.publish, Catalog: n.types, Counts: n.counts,
		Cache: n.cache, Peers: n.hub, Node: n.set.Node,
	}
	var duties sync.WaitGroup
	duties.Go(func() { n.hub.Run(ctx, cluster) })
	duties.Go(func() { n.serveDebug(ctx) })
	duties.Go(func() { n.keepCatalog(ctx) })
	duties.Go(func() { n.cache.Run(ctx) })
	duties.Go(func() { n.tellLosses(ctx) })
	duties.Go(func() { n.becomeSure(ctx) })
	duties.Go(func() { n.staySure(ctx) })
	duties.Go(func() { n.cache.Audit(ctx, n.d.Audit, n.d.AuditPause) })
	duties.Go(func() { n.memory.watch(ctx, n.d.TermRenew) })
	duties.Go(func() {
		n.keeper.Run(ctx, func(ctx context.Context, t election.Term) {
			n.store.SetBudget(n.budget(true))
			defer n.store.SetBudget(n.budget(false))
			n.gate.Lead(ctx, deps, t)
		})
	})
	duties.Wait()
}

// promise answers the holder of the term, which has lost the state service. The
// promise comes first: what this node tells users later is newer than the question.
func (n *Controller) promise(ctx context.Context, _ string, token, seen uint64) peer.Promise {
	p := peer.Promise{Given: n.keeper.Promise(ctx, token)}
	if p.Given && seen > 0 {
		p.Cancellations, p.Complete = n.cache.Cancellations(seen)
	}
	return p
}

// allPromise asks all others for promises. The picture of the jobs is renewed only by
// what all nodes, this one too, have told users and it has not seen: that none reaches
// the state service now says nothing of what was told before.
func (n *Controller) allPromise(ctx context.Context, token uint64) bool {
	asked, seen := time.Now(), n.gate.Seen()
	p := n.hub.AllPromise(ctx, token, seen)
	own, complete := n.cache.Cancellations(seen)
	if p.Given && p.Complete && complete && seen > 0 {
		n.gate.Cancelled(ctx, append(p.Cancellations, own...), asked)
	}
	return p.Given
}

// budget is what this node may ask of the state service.
func (n *Controller) budget(leading bool) kvstore.Budget {
	all := n.set.Deployment.State.Within()
	b := kvstore.Budget{Requests: leaderRequests * all.RPS, Writes: leaderWrites * all.WriteRPS}
	if others := float64(n.set.Deployment.Nodes - 1); !leading && others > 0 {
		b.Requests = (1 - leaderRequests) * all.RPS / others
		b.Writes = (1 - leaderWrites) * all.WriteRPS / others
	}
	return b
}

func (n *Controller) publish(counts map[string]jobs.Counts, changes []peer.JobChange) {
	n.heard.Store(time.Since(n.born).Nanoseconds())
	n.cache.PutBack(n.gate.PutBack())
	phase := n.gate.RecoveryPhase()
	n.hub.Publish(peer.Progress{
		Counts: counts, Served: !n.store.Failing(), Uncertain: phase == leader.Comparing, Restoring: phase == leader.Restoring,
		PutBack: n.gate.PutBack(), Known: n.cache.Jobs(), Changes: changes,
	})
}

// ready tells whether this node can take requests. One that the state service
// alone refuses sends its users to others, and so does one that has lost the state
// service and the leader together, as it is most likely cut off itself. In an outage
// of all it stays, since users would only find nobody, and come back later than the
// service does.
func (n *Controller) ready() bool {
	if !n.cache.Settled() && time.Since(n.born) < 2*n.d.TermLease {
		return false // it has just begun, and cannot tell a new job from a lost one yet
	}
	if !n.store.Failing() {
		return true
	}
	ago := func(at *atomic.Int64) (time.Duration, bool) {
		t := time.Duration(at.Load())
		return time.Since(n.born) - t, t != 0
	}
	if since, ever := ago(&n.served); ever && since <= 2*n.d.Report {
		return false
	}
	since, ever := ago(&n.heard)
	return !ever || since <= n.d.Cancel // most outages are over by then
}

func (n *Controller) types() []jobs.MachineType {
	if t := n.catalog.Load(); t != nil {
		return *t
	}
	return nil
}

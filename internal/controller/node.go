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

	"ospreyslip/internal/cloud"
	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobapi"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader"
	"ospreyslip/internal/leader/recoverer"
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
	cache   *jobcache.Cache
	cloud   *cloud.Client
	workers *workers.Client
	keeper  *election.Elector
	gate    *leader.Handle
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
	n := &Controller{set: set, d: d, listenForUsers: users, listenForPeers: cluster, born: time.Now(), counts: leader.NewCounts(), gate: &leader.Handle{}}
	n.workers = workers.NewClient(pick(2, d.Host.WorkerConns, d.Workers.RequestTimeout), d.Workers.RequestTimeout)
	n.store = kvstore.New(set.Endpoints.Store, pick(d.Host.StoreConns, 0, d.Store.RequestTimeout), d.Store.RequestTimeout, n.budget(false))
	n.cache = jobcache.New(n.store, jobcache.Options{ReadGap: d.API.PollReadInterval, IdleReadInterval: d.Workers.CancelDeadline / 4, SuspectFor: d.Workers.CancelDeadline, CancellationsKept: d.API.CancellationHistory})
	n.keeper = election.NewElector(set.Node, n.store, election.Timing{
		LeaseDuration: d.Election.LeaseDuration, RenewPeriod: d.Election.RenewInterval, ValidFor: d.Election.LeaseValidity, WatchTimeout: d.Store.WatchTimeout, RetryPeriod: d.Election.RenewInterval,
	})
	n.hub = peer.NewHub(set.Node, set.Peers, w.Dial, d.Election.RenewInterval)
	n.debug = newHanded()
	n.losses = newLossDesk()
	n.cache.OnLoss = n.losses.notice
	n.keeper.ReportLoss = func(l detection.Evidence) {
		n.cache.Readiness.SuspectLossUntil(time.Now().Add(d.Workers.CancelDeadline)) // before the term ends, and with it what its leader knows
		n.losses.notice(l)
	}
	n.hub.Lost = n.lostPage
	n.hub.Noticed = func(_ string, l detection.Evidence) {
		if !l.Kind.AffectsLog() {
			l.Kind = detection.ReportedByPeer
		}
		n.gate.ReportLoss(l)
	}
	if w.Memory == nil {
		w.Memory = heldBytes
	}
	n.memory = &memoryGauge{most: uint64(d.Host.RefuseBytes), held: w.Memory}
	n.hub.HTTP = n.debug.take
	n.hub.Promise = n.promise
	n.hub.Progress = func(from string, p peer.Progress) {
		if n.keeper.IsLeader() {
			return
		}
		n.counts.Replace(p.Counts)
		for _, c := range p.Changes {
			n.cache.NoteAnnounced(c.ID, c.State, c.Tasks)
		}
		n.leaderIsUnsure(p)
		n.cache.Readiness.NotePeerCount(p.Known, p.Uncertain)
		n.heard.Store(time.Since(n.born).Nanoseconds())
		if p.Served {
			n.served.Store(time.Since(n.born).Nanoseconds())
		}
	}
	if len(set.Peers) == set.Deployment.Nodes-1 {
		n.keeper.RequestPeerLeases = n.allPromise
		n.keeper.NoPeerReliesOnGrants = n.nobodyRelies
	}
	n.cloud = cloud.NewClient(set.Endpoints.Cloud, pick(d.Host.CloudConns, 0, d.Cloud.RequestTimeout), d.Cloud.RequestTimeout, set.Deployment.Cloud.RPS*cloudShare)
	return n
}

// Run serves until the context ends.
func (n *Controller) Run(ctx context.Context) error {
	// One thread at a time is all that a share of a core can use.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(n.d.Host.GCBytes)

	ln, err := n.listenForUsers(n.set.Bind)
	if err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	cluster, err := n.listenForPeers(n.set.ClusterListen)
	if err != nil {
		return fmt.Errorf("cluster_listen: %w", err)
	}
	served := newConns(n.d.Host.ServedConns)
	srv := &http.Server{
		Handler:           n.Handler(),
		ConnState:         served.changed,
		ReadHeaderTimeout: n.d.API.RequestTimeout * 2,
		ReadTimeout:       n.d.API.RequestTimeout * 4,
		IdleTimeout:       n.d.Host.IdleTimeout,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	slog.Info("serving", "node", n.set.Node, "zone", n.set.Zone, "bind", n.set.Bind)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		err := srv.Serve(netutil.LimitListener(turns{ln}, n.d.Host.ServedConns))
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	g.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.d.API.RequestTimeout)
		defer cancel()
		return srv.Shutdown(stop)
	})
	g.Go(func() error { n.Work(ctx, cluster); return nil })
	return g.Wait()
}

// Handler serves users and workers.
func (n *Controller) Handler() http.Handler {
	mux := http.NewServeMux()
	users := &jobapi.API{Settings: n.set, Derived: n.d, Store: n.store, Cache: n.cache, Catalog: n.types, Counts: n.counts.Get, Ready: n.ready, Room: n.memory.room}
	users.Register(mux)
	reports := &workers.Handler{HandleHeartbeat: n.gate.HandleHeartbeat, Leader: func() string {
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
		Workers: n.workers, IsLeader: n.keeper.IsLeader, PeerLeasesRequestedAt: n.keeper.PeerLeasesRequestedAt, TokenRaised: n.keeper.TokenRaised, Broadcast: n.publish, MachineTypes: n.types, Counts: n.counts,
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
	duties.Go(func() { n.cache.RunAudits(ctx, n.d.Store.AuditInterval, n.d.Store.AuditPagePause) })
	duties.Go(func() { n.memory.watch(ctx, n.d.Election.RenewInterval) })
	duties.Go(func() {
		n.keeper.Run(ctx, func(ctx context.Context, t election.Term) {
			n.store.SetRateLimits(n.budget(true))
			defer n.store.SetRateLimits(n.budget(false))
			n.gate.Lead(ctx, deps, t)
		})
	})
	duties.Wait()
}

// promise answers the holder of the term, which has lost the state service. The
// promise comes first: what this node tells users later is newer than the question.
func (n *Controller) promise(ctx context.Context, _ string, token, seen uint64) peer.Promise {
	p := peer.Promise{Given: n.keeper.GrantPeerLease(ctx, token)}
	if p.Given && seen > 0 {
		p.Cancellations, p.Complete = n.cache.CancellationsAfter(seen)
	}
	return p
}

// allPromise asks all others for promises. The picture of the jobs is renewed only by
// what all nodes, this one too, have told users and it has not seen: that none reaches
// the state service now says nothing of what was told before.
func (n *Controller) allPromise(ctx context.Context, token uint64) bool {
	asked, seen := time.Now(), n.gate.SeenRevision()
	p := n.hub.AllPromise(ctx, token, seen)
	own, complete := n.cache.CancellationsAfter(seen)
	if p.Given && p.Complete && complete && seen > 0 {
		n.gate.ApplyPeerCancellations(ctx, append(p.Cancellations, own...), asked)
	}
	return p.Given
}

// budget is what this node may ask of the state service.
func (n *Controller) budget(leading bool) kvstore.RateLimits {
	all := n.set.Deployment.Store.Effective()
	b := kvstore.RateLimits{RequestsPerSecond: leaderRequests * all.RPS, WritesPerSecond: leaderWrites * all.WriteRPS}
	if others := float64(n.set.Deployment.Nodes - 1); !leading && others > 0 {
		b.RequestsPerSecond = (1 - leaderRequests) * all.RPS / others
		b.WritesPerSecond = (1 - leaderWrites) * all.WriteRPS / others
	}
	return b
}

func (n *Controller) publish(counts map[string]jobs.Counts, changes []peer.JobChange) {
	n.heard.Store(time.Since(n.born).Nanoseconds())
	n.cache.Readiness.SetRolledBack(n.gate.StoreRolledBack())
	phase := n.gate.RecoveryPhase()
	n.hub.Publish(peer.Progress{
		Counts: counts, Served: !n.store.Failing(), Uncertain: phase == recoverer.Comparing, Restoring: phase == recoverer.Restoring,
		PutBack: n.gate.StoreRolledBack(), Known: n.cache.JobCount(), Changes: changes,
	})
}

// ready tells whether this node can take requests. One that the state service
// alone refuses sends its users to others, and so does one that has lost the state
// service and the leader together, as it is most likely cut off itself. In an outage
// of all it stays, since users would only find nobody, and come back later than the
// service does.
func (n *Controller) ready() bool {
	if !n.cache.Readiness.ProvenCurrent() && time.Since(n.born) < 2*n.d.Election.LeaseDuration {
		return false // it has just begun, and cannot tell a new job from a lost one yet
	}
	if !n.store.Failing() {
		return true
	}
	ago := func(at *atomic.Int64) (time.Duration, bool) {
		t := time.Duration(at.Load())
		return time.Since(n.born) - t, t != 0
	}
	if since, ever := ago(&n.served); ever && since <= 2*n.d.Workers.HeartbeatInterval {
		return false
	}
	since, ever := ago(&n.heard)
	return !ever || since <= n.d.Workers.CancelDeadline // most outages are over by then
}

func (n *Controller) types() []jobs.MachineType {
	if t := n.catalog.Load(); t != nil {
		return *t
	}
	return nil
}

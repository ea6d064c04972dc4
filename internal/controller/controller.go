package controller

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"ospreyslip/internal/cloud"
	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs/jobapi"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/workers"
)

const (
	// cloudRequestShare is the fraction of the cloud API's request rate that the leader uses.
	cloudRequestShare = 0.8
	// gcPercent is the heap growth, in percent, that triggers a garbage collection. Below the
	// memory limit, a controller has more memory than processor time to spare.
	gcPercent = 300
)

// Controller serves users and workers, and runs the leader while it is elected.
type Controller struct {
	settings *settings.Settings
	derived  settings.Derived
	listen   listeners

	// Clients of the key-value store, the cloud and the workers.
	store   *kvstore.Client
	cloud   *cloud.Client
	workers *workers.Client

	// State that every controller keeps, whether or not it is the leader.
	cache        *jobcache.Cache
	jobCounts    *leader.Counts
	machineTypes *machineTypeCatalog

	// Leader election and communication with the other controllers.
	elector          *election.Elector
	leaderHandle     *leader.Handle
	peers            *peer.Hub
	lossReporter     *lossReporter
	cacheVerifier    *cacheVerifier
	recoveryFollower *recoveryFollower

	// Admission control of requests.
	readiness   *readiness
	memoryLimit *memoryLimit
}

// listeners holds the sources of a controller's incoming connections.
type listeners struct {
	users, cluster func(addr string) (net.Listener, error)
	// operators receives the HTTP connections that the cluster listener accepted.
	operators *connQueue
}

// Environment holds a controller's access to its host. The zero value uses the real network and
// the memory usage of this process; tests substitute their own.
type Environment struct {
	// HTTP sends requests to the key-value store, the cloud and the workers.
	HTTP http.RoundTripper
	// Dial opens connections to other controllers.
	Dial peer.Dial
	// Listen opens the listener for users and workers, and the cluster listener.
	Listen func(addr string) (net.Listener, error)
	// Memory returns the memory that this process holds, in bytes.
	Memory func() uint64
}

// New returns a controller for validated settings. The controller opens no connection and starts
// no goroutine before Run or RunBackground is called.
func New(config *settings.Settings, env Environment) *Controller {
	startedAt := time.Now()
	derived := config.Derive()
	env = env.withDefaults()
	c := &Controller{settings: config, derived: derived, jobCounts: leader.NewCounts(), leaderHandle: &leader.Handle{}}
	c.listen = newListeners(env)
	c.workers = workers.NewClient(env.transport(2, derived.Host.WorkerConns, derived.Workers.RequestTimeout), derived.Workers.RequestTimeout)
	c.store = kvstore.New(config.Endpoints.Store, env.transport(derived.Host.StoreConns, 0, derived.Store.RequestTimeout), derived.Store.RequestTimeout, storeRateLimits(config, false))
	c.cloud = cloud.NewClient(config.Endpoints.Cloud, env.transport(derived.Host.CloudConns, 0, derived.Cloud.RequestTimeout), derived.Cloud.RequestTimeout,
		config.Deployment.Cloud.RPS*cloudRequestShare)
	c.cache = jobcache.New(c.store, jobcache.Options{MinReadInterval: derived.API.PollReadInterval, IdleReadInterval: derived.Workers.CancelDeadline / 4, SuspectFor: derived.Workers.CancelDeadline, CancellationsKept: derived.API.CancellationHistory})
	c.elector = election.NewElector(config.ControllerName, c.store, election.Timing{
		LeaseDuration: derived.Election.LeaseDuration, RenewPeriod: derived.Election.RenewInterval, ValidFor: derived.Election.LeaseValidity, WatchTimeout: derived.Store.WatchTimeout, RetryPeriod: derived.Election.RenewInterval,
	})
	c.peers = peer.NewHub(config.ControllerName, config.Peers, env.Dial, derived.Election.RenewInterval)

	c.memoryLimit = &memoryLimit{limitBytes: uint64(derived.Host.RefuseBytes), inUseBytes: env.Memory}
	c.readiness = &readiness{startedAt: startedAt, derived: derived, store: c.store, cache: c.cache}
	c.machineTypes = &machineTypeCatalog{derived: derived, store: c.store, cloud: c.cloud}
	c.lossReporter = newLossReporter(config.ControllerName, derived, c.cache, c.elector, c.leaderHandle, c.peers)
	c.cacheVerifier = &cacheVerifier{startedAt: startedAt, derived: derived, store: c.store, cache: c.cache, peers: c.peers, lossReporter: c.lossReporter}
	c.recoveryFollower = &recoveryFollower{derived: derived, cache: c.cache}
	c.registerCallbacks()
	return c
}

// registerCallbacks sets the callbacks through which the components notify each other.
func (c *Controller) registerCallbacks() {
	c.cache.OnLoss = c.lossReporter.enqueue
	c.elector.ReportLoss = c.handleElectionKeyLoss
	c.peers.OnHTTP = c.listen.operators.enqueue
	c.peers.OnLeaseGrantRequest = c.handleLeaseGrantRequest
	c.peers.OnLeaderUpdate = c.applyLeaderUpdate
	c.peers.OnLostJobsRequest = newLostJobsResponder(c.derived, c.cache, c.elector).respond
	c.peers.OnLossNotice = c.handleLossNotice
	// A leader may rely on peer leases only if it can ask every other controller.
	if len(c.settings.Peers) == c.settings.Deployment.ControllerCount-1 {
		c.elector.RequestPeerLeases = c.requestLeaseGrants
		c.elector.NoPeerReliesOnGrants = c.cacheVerifier.noPeerReliesOnGrants
	}
}

// Run serves until the context ends or a listener fails. It sets limits of the Go runtime, which
// apply to the whole process, so a process must not run a second controller.
func (c *Controller) Run(ctx context.Context) error {
	// A controller runs on a fraction of a core, where a second running thread gains nothing.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(c.derived.Host.GCBytes)

	userListener, err := c.listen.users(c.settings.Bind)
	if err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	clusterListener, err := c.listen.cluster(c.settings.ClusterListen)
	if err != nil {
		return fmt.Errorf("cluster_listen: %w", err)
	}
	slog.Info("serving", "node", c.settings.ControllerName, "zone", c.settings.Zone, "bind", c.settings.Bind)
	group, ctx := errgroup.WithContext(ctx)
	c.serveUsers(ctx, group, userListener)
	group.Go(func() error { c.RunBackground(ctx, clusterListener); return nil })
	return group.Wait()
}

// Handler returns the HTTP handler for users and workers.
func (c *Controller) Handler() http.Handler {
	mux := http.NewServeMux()
	userAPI := &jobapi.API{
		Settings: c.settings, Derived: c.derived, Store: c.store, Cache: c.cache,
		Catalog: c.machineTypes.types, Counts: c.jobCounts.Get, Ready: c.readiness.ready, HasMemory: c.memoryLimit.hasRoom,
	}
	userAPI.Register(mux)
	heartbeatHandler := &workers.Handler{HandleHeartbeat: c.leaderHandle.HandleHeartbeat, Leader: c.otherLeader}
	heartbeatHandler.Register(mux)
	return mux
}

// RunBackground runs the background goroutines until the context ends and returns when all of them
// have stopped. It closes clusterListener, which accepts connections from controllers and
// operators.
func (c *Controller) RunBackground(ctx context.Context, clusterListener net.Listener) {
	var background sync.WaitGroup
	background.Go(func() { c.peers.Run(ctx, clusterListener) })
	background.Go(func() { c.serveOperators(ctx) })
	background.Go(func() { c.machineTypes.refresh(ctx) })
	background.Go(func() { c.cache.Run(ctx) })
	background.Go(func() { c.lossReporter.run(ctx) })
	background.Go(func() { c.cacheVerifier.verifyAfterStart(ctx) })
	background.Go(func() { c.cacheVerifier.verifyAfterOutages(ctx) })
	background.Go(func() { c.cache.RunAudits(ctx, c.derived.Store.AuditInterval, c.derived.Store.AuditPagePause) })
	background.Go(func() { c.memoryLimit.watch(ctx, c.derived.Election.RenewInterval) })
	background.Go(func() { c.campaign(ctx) })
	background.Wait()
}

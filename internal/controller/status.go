package controller

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"ospreyslip/internal/leader"
	"ospreyslip/internal/reconcile"
)

// Status is what a node tells its operators.
type Status struct {
	Node    string         `json:"node"`
	Zone    string         `json:"zone"`
	Leader  string         `json:"leader"` // as this node knows; empty if unknown
	Leading bool           `json:"leading"`
	View    *leader.Status `json:"view,omitempty"` // of the leader only
}

func (n *Controller) status(ctx context.Context) Status {
	return Status{
		Node: n.settings.Node, Zone: n.settings.Zone, Leader: n.elector.Leader(), Leading: n.elector.Valid(),
		View: n.gate.Status(ctx),
	}
}

// operatorHandler serves operators on the cluster listener.
func (n *Controller) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), n.derived.UserWait)
		defer cancel()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.status(ctx))
	})
	n.registerRecoveryHandlers(mux)
	reg := prometheus.NewRegistry()
	reg.MustRegister(&metricsCollector{n})
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	return mux
}

// metricsCollector reads the metrics when they are asked for: nothing is counted on
// the way, so that they cost nothing in between.
type metricsCollector struct{ n *Controller }

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("ospreyslip_"+name, help, labels, nil)
}

var (
	leadingDesc   = desc("leading", "1 while this node holds the term.")
	tokenDesc     = desc("token", "Token that workers compare.")
	pictureDesc   = desc("picture_age_seconds", "Age of the leader's picture of users' wishes.")
	heldDesc      = desc("verdicts_held", "1 while a missing report holds all verdicts.")
	disruptedDesc = desc("disrupted", "1 while every zone looks dead.")
	writesDesc    = desc("write_queue", "Records that wait to be written.")
	machinesDesc  = desc("machines", "Machines by state.", "state")
	waitingDesc   = desc("tasks_waiting", "Tasks without a machine.", "class")
	placedDesc    = desc("tasks_placed", "Tasks that are, or may be, on a machine.", "class")
	lostDesc      = desc("recovery_lost_jobs", "Jobs of which more is known than their records say.")
	heldJobsDesc  = desc("recovery_held_jobs", "Jobs that are held until it is known what became of them.")
	comparingDesc = desc("recovery_phase", "1 for the present phase of a recovery.", "phase")
	evidenceDesc  = desc("recovery_evidence", "Evidence of lost records under this leader.", "kind")
	takeoverDesc  = desc("takeover_phase", "1 for the present phase of the leader's take-over.", "phase")
	accountedDesc = desc("takeover_machines", "Machines that the records named when the term began, by what became of them.", "state")
	commandsDesc  = desc("takeover_commands", "Commands to workers until the take-over was settled.", "op", "reason")
	reachedDesc   = desc("takeover_seconds", "Time from the begin of the term to a moment of the take-over.", "moment")
	teamDesc      = desc("team_cpus", "CPUs that a team's tasks take.", "team")
)

func (c *metricsCollector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

func (c *metricsCollector) Collect(ch chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), c.n.derived.UserWait)
	defer cancel()
	s := c.n.status(ctx)
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	flag := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	gauge(leadingDesc, flag(s.Leading))
	if s.View == nil {
		return
	}
	if r, err := c.n.gate.Recovery(ctx); err == nil {
		gauge(lostDesc, float64(r.Lost))
		gauge(heldJobsDesc, float64(r.Held))
		gauge(comparingDesc, 1, string(r.Phase))
		for kind, count := range r.Evidence {
			gauge(evidenceDesc, float64(count), string(kind))
		}
	}
	gauge(tokenDesc, float64(s.View.Token))
	gauge(pictureDesc, s.View.PictureS)
	gauge(heldDesc, flag(s.View.Held))
	gauge(disruptedDesc, flag(s.View.Disrupted))
	gauge(writesDesc, float64(s.View.WriteQueue))
	states := map[string]float64{}
	for _, m := range s.View.Machines {
		states[m.State]++
	}
	for state, count := range states {
		gauge(machinesDesc, count, state)
	}
	for _, cl := range s.View.Classes {
		gauge(waitingDesc, float64(cl.Waiting), cl.Class)
		gauge(placedDesc, float64(cl.Placed), cl.Class)
	}
	for _, t := range s.View.Teams {
		gauge(teamDesc, t.CPUs, t.Team)
	}
	collectTakeover(gauge, s.View.Takeover)
}

// collectTakeover shows how far the leader's take-over is.
func collectTakeover(gauge func(*prometheus.Desc, float64, ...string), p reconcile.Progress) {
	gauge(takeoverDesc, 1, string(p.Phase))
	for state, count := range map[string]int{"expected": p.Expected, "heard": p.Heard, "late": p.Late, "never": p.Never} {
		gauge(accountedDesc, float64(count), state)
	}
	for moment, after := range map[string]float64{"records_read": p.ReadS, "first_answer": p.AnswerS, "first_order": p.OrderS, "settled": p.SettledS} {
		if after > 0 {
			gauge(reachedDesc, after, moment)
		}
	}
	for _, c := range p.Commands {
		gauge(commandsDesc, float64(c.Count), c.Op, string(c.Reason))
	}
}

// connQueue is a listener whose connections are handed to it.
type connQueue struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newConnQueue() *connQueue {
	return &connQueue{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (h *connQueue) enqueue(c net.Conn) {
	select {
	case h.conns <- c:
	case <-h.done:
		c.Close()
	}
}

func (h *connQueue) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

func (h *connQueue) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

func (h *connQueue) Addr() net.Addr { return &net.TCPAddr{} }

// serveOperators serves the operators' connections until the context ends.
func (n *Controller) serveOperators(ctx context.Context) {
	srv := &http.Server{Handler: n.operatorHandler(), ReadHeaderTimeout: n.derived.UserWait, IdleTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(n.operatorConns); !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
		return
	}
}

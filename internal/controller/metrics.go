package controller

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"ospreyslip/internal/reconcile"
)

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

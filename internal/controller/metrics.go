package controller

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"ospreyslip/internal/leader"
	"ospreyslip/internal/leader/recoverer"
	"ospreyslip/internal/reconcile"
)

// metricsCollector computes the metrics when they are scraped. Nothing is counted between
// scrapes, so metrics cost nothing while nobody scrapes them.
type metricsCollector struct{ controller *Controller }

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("ospreyslip_"+name, help, labels, nil)
}

var (
	leadingDesc          = newDesc("leading", "1 while this node holds the term.")
	tokenDesc            = newDesc("token", "Token that workers compare.")
	recordsAgeDesc       = newDesc("picture_age_seconds", "Age of the leader's picture of users' wishes.")
	verdictsOnHoldDesc   = newDesc("verdicts_held", "1 while a missing report holds all verdicts.")
	fullDisruptionDesc   = newDesc("disrupted", "1 while every zone looks dead.")
	writeQueueDesc       = newDesc("write_queue", "Records that wait to be written.")
	machinesDesc         = newDesc("machines", "Machines by state.", "state")
	oversizedDesc        = newDesc("oversized_report_bytes", "Size of a worker's report that is larger than the protocol allows.", "machine")
	tasksWaitingDesc     = newDesc("tasks_waiting", "Tasks without a machine.", "class")
	tasksPlacedDesc      = newDesc("tasks_placed", "Tasks that are, or may be, on a machine.", "class")
	lostJobsDesc         = newDesc("recovery_lost_jobs", "Jobs of which more is known than their records say.")
	heldJobsDesc         = newDesc("recovery_held_jobs", "Jobs that are held until it is known what became of them.")
	recoveryPhaseDesc    = newDesc("recovery_phase", "1 for the present phase of a recovery.", "phase")
	lossEvidenceDesc     = newDesc("recovery_evidence", "Evidence of lost records under this leader.", "kind")
	failoverPhaseDesc    = newDesc("takeover_phase", "1 for the present phase of the leader's take-over.", "phase")
	failoverMachinesDesc = newDesc("takeover_machines", "Machines that the records named when the term began, by what became of them.", "state")
	failoverCommandsDesc = newDesc("takeover_commands", "Commands to workers until the take-over was settled.", "op", "reason")
	failoverSecondsDesc  = newDesc("takeover_seconds", "Time from the begin of the term to a moment of the take-over.", "moment")
	teamCPUsDesc         = newDesc("team_cpus", "CPUs that a team's tasks take.", "team")
)

// gaugeFunc emits one sample of a gauge.
type gaugeFunc func(desc *prometheus.Desc, value float64, labels ...string)

// Describe implements prometheus.Collector.
func (m *metricsCollector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(m, ch) }

// Collect implements prometheus.Collector. A controller that is not the leader emits only the
// leading gauge.
func (m *metricsCollector) Collect(ch chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), m.controller.derived.API.RequestTimeout)
	defer cancel()
	status := m.controller.status(ctx)
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	gauge(leadingDesc, boolToFloat(status.Leading))
	if status.LeaderStatus == nil {
		return
	}
	if recovery, err := m.controller.leaderHandle.Recovery(ctx); err == nil {
		collectRecovery(gauge, recovery)
	}
	collectLeader(gauge, status.LeaderStatus)
	collectFailover(gauge, status.LeaderStatus.Failover)
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// collectRecovery emits the progress of the recovery of lost records.
func collectRecovery(gauge gaugeFunc, recovery recoverer.Status) {
	gauge(lostJobsDesc, float64(recovery.Lost))
	gauge(heldJobsDesc, float64(recovery.Held))
	gauge(recoveryPhaseDesc, 1, string(recovery.Phase))
	for kind, count := range recovery.Evidence {
		gauge(lossEvidenceDesc, float64(count), string(kind))
	}
}

// collectLeader emits the leader's observed state of machines, tasks and teams.
func collectLeader(gauge gaugeFunc, status *leader.Status) {
	gauge(tokenDesc, float64(status.Token))
	gauge(recordsAgeDesc, status.RecordsAgeS)
	gauge(verdictsOnHoldDesc, boolToFloat(status.VerdictsOnHold))
	gauge(fullDisruptionDesc, boolToFloat(status.FullDisruption))
	gauge(writeQueueDesc, float64(status.WriteQueue))
	machinesByState := map[string]float64{}
	for _, machine := range status.Machines {
		machinesByState[machine.State]++
		if machine.OversizedBytes > 0 {
			gauge(oversizedDesc, float64(machine.OversizedBytes), machine.ID)
		}
	}
	for state, count := range machinesByState {
		gauge(machinesDesc, count, state)
	}
	for _, class := range status.Classes {
		gauge(tasksWaitingDesc, float64(class.Waiting), class.Class)
		gauge(tasksPlacedDesc, float64(class.Placed), class.Class)
	}
	for _, team := range status.Teams {
		gauge(teamCPUsDesc, team.CPUs, team.Team)
	}
}

// collectFailover emits the progress of the leader's failover: which machines have reported, and
// when each step was reached.
func collectFailover(gauge gaugeFunc, progress reconcile.Progress) {
	gauge(failoverPhaseDesc, 1, string(progress.Phase))
	machines := map[string]int{"expected": progress.Expected, "heard": progress.Reported, "late": progress.Overdue, "never": progress.NeverReported}
	for state, count := range machines {
		gauge(failoverMachinesDesc, float64(count), state)
	}
	moments := map[string]float64{
		"records_read": progress.RecordsLoadedS, "first_answer": progress.FirstResponseS, "first_order": progress.FirstCommandS, "settled": progress.DoneS,
	}
	for moment, after := range moments {
		if after > 0 {
			gauge(failoverSecondsDesc, after, moment)
		}
	}
	for _, command := range progress.Commands {
		gauge(failoverCommandsDesc, float64(command.Count), command.Op, string(command.Reason))
	}
}

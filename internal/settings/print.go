package settings

import (
	"fmt"
	"io"
)

// Print writes the derived values to w, one per line. The printed names and their order are part
// of the output of `ospreyslip check` and do not follow changes of the field names.
func (d Derived) Print(w io.Writer) error {
	for _, line := range d.printedValues() {
		if _, err := fmt.Fprintf(w, "%-12s %v\n", line.name, line.value); err != nil {
			return err
		}
	}
	return nil
}

// printedValue is a derived value with the name under which `ospreyslip check` prints it.
type printedValue struct {
	name  string
	value any
}

func (d Derived) printedValues() []printedValue {
	return []printedValue{
		{"Report", d.Workers.HeartbeatInterval},
		{"ControlInterval", d.Leader.ControlInterval},
		{"Lease", d.Workers.Lease},
		{"Cancel", d.Workers.CancelDeadline},
		{"LeaseOver", d.Workers.LeaseExpiry},
		{"SilentFor", d.Detection.SuspectAfter},
		{"CallWait", d.Workers.RequestTimeout},
		{"Overdue", d.Detection.HeartbeatOverdue},
		{"AnnounceAfter", d.Workers.AnnounceDelay},
		{"ZoneSilent", d.Detection.ZoneSilenceLimit},
		{"HoldGrace", d.Detection.MaxHold},
		{"VerdictGap", d.Detection.VerdictInterval},
		{"TermLease", d.Election.LeaseDuration},
		{"TermRenew", d.Election.RenewInterval},
		{"TermSafe", d.Election.LeaseValidity},
		{"WatchStale", d.Store.MaxStaleness},
		{"WatchWait", d.Store.WatchTimeout},
		{"StateWait", d.Store.RequestTimeout},
		{"UserWait", d.API.RequestTimeout},
		{"DoubtFor", d.Workers.InDoubtTimeout},
		{"CloudWait", d.Cloud.RequestTimeout},
		{"ListEvery", d.Cloud.ListInterval},
		{"RentalsInFlight", d.Cloud.MaxProvisionRequestsInFlight},
		{"ListLag", d.Cloud.ListLag},
		{"FlushGap", d.Leader.FlushInterval},
		{"CancelsKept", d.API.CancellationHistory},
		{"PollGap", d.API.PollReadInterval},
		{"BeginBy", d.Leader.StarvationLimit},
		{"Audit", d.Store.AuditInterval},
		{"AuditPause", d.Store.AuditPagePause},
		{"Lasting", d.Leader.CountedRunTime},
		{"TxnOps", d.Store.TxnOps},
		{"ValueBytes", d.Store.ValueBytes},
		{"ChunkTasks", d.Store.ChunkTasks},
		{"CollectBytes", d.Host.GCBytes},
		{"RefuseBytes", d.Host.RefuseBytes},
		{"ServedConns", d.Host.ServedConns},
		{"IdleConns", d.Host.IdleTimeout},
		{"WorkerConns", d.Host.WorkerConns},
		{"StateConns", d.Host.StoreConns},
		{"CloudConns", d.Host.CloudConns},
		{"GangPeer", d.Workers.GangStopWindow},
		{"OrdersInFlight", d.Host.CommandsInFlight},
		{"UserQueue", d.API.MaxConcurrentRequests},
	}
}

package workers

// The values of Command.Op: what a worker is to do to a task.
const (
	OpRun   = "run"   // start an attempt; without effect if the worker has it, ended or not
	OpStop  = "stop"  // end it, saving a checkpoint first where the grace period allows that
	OpClear = "clear" // leave an ended attempt out of heartbeats; the worker forgets it
)

// The values of TaskStatus.State: the states of a task on its machine.
const (
	StateFetching  = "fetching"
	StateGathering = "gathering" // a gang's task, which waits for the others
	StateRunning   = "running"
	StateSaving    = "saving"
	StateEnded     = "ended"
)

// The values of TaskStatus.Cause: why a task has ended.
const (
	CauseDone       = "done"
	CauseStopped    = "stopped"
	CauseError      = "error"
	CauseNoRoom     = "no_room"
	CauseBusy       = "busy"
	CauseUnknown    = "unknown"
	CauseMatesGone  = "mates_gone" // another task of the gang is gone
	CauseIncomplete = "incomplete" // the gang was not complete in time
)

// Heartbeat is a worker's status. It is sent at intervals, and is also the answer to
// commands and to a probe. Of two heartbeats of a machine, the one with the larger
// (AgentEpoch, Seq) is the newer one.
type Heartbeat struct {
	Machine string `json:"host"`
	Addr    string `json:"addr"` // host:port that takes commands and probes
	Type    string `json:"perchKind"`
	Zone    string `json:"eyrie"`
	Spot    bool   `json:"driftwood"`
	// AgentEpoch starts at 1 and is raised each time the worker's lease expires: all
	// tasks of earlier epochs are gone.
	AgentEpoch uint64 `json:"soar"`
	// Seq is raised with every heartbeat, whatever it is sent for.
	Seq uint64 `json:"beat"`
	// FencingToken is the highest token that the worker has seen.
	FencingToken uint64 `json:"crest"`
	// SpotNoticeS is in how many seconds the cloud takes the machine away; nil without a notice.
	SpotNoticeS *float64 `json:"warningS"`
	// Tasks are all on the machine, ended ones until they are cleared.
	Tasks []TaskStatus `json:"talons"`
}

// TaskStatus is the status of one attempt at a task.
type TaskStatus struct {
	Name    string `json:"talon"` // see TaskName
	Attempt uint64 `json:"dive"`
	State   string `json:"stance"`
	Cause   string `json:"cause,omitzero"`  // set once it has ended
	Saved   bool   `json:"stored,omitzero"` // its progress was saved as it ended
}

// Command tells a worker what to do to one attempt at a task.
type Command struct {
	Op      string `json:"call"`
	Task    string `json:"talon"` // see TaskName
	Attempt uint64 `json:"dive"`
	// GraceS is how many seconds a task that is stopped may save for; other commands have none.
	GraceS *float64 `json:"glideS,omitzero"`
}

// HeartbeatResponse answers a heartbeat and renews the worker's lease. A worker that has
// seen a higher fencing token drops it.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"crest"`
	Commands     []Command `json:"calls"`
}

// CommandRequest is sent to a worker's own address. It is executed if the fencing token is
// not lower than the highest that the worker has seen and the epoch is the worker's own,
// however late it arrives. It does not renew the worker's lease.
type CommandRequest struct {
	FencingToken uint64    `json:"crest"`
	AgentEpoch   uint64    `json:"soar"`
	Commands     []Command `json:"calls"`
}

// Redirect answers a heartbeat on a node that does not lead.
type Redirect struct {
	Leader string `json:"nest,omitzero"` // name of the node to send heartbeats to
}

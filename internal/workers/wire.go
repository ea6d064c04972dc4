package workers

// Values of Command.Op.
const (
	OpRun   = "run"   // start an attempt; no effect if the worker already has it, ended or not
	OpStop  = "stop"  // end an attempt, after a checkpoint if the grace period allows one
	OpClear = "clear" // forget an ended attempt and omit it from heartbeats
)

// Values of TaskStatus.State.
const (
	StateFetching  = "fetching"
	StateGathering = "gathering" // waits for the other tasks of its gang
	StateRunning   = "running"
	StateSaving    = "saving"
	StateEnded     = "ended"
)

// Values of TaskStatus.Cause, the reason why a task ended.
const (
	CauseDone           = "done"
	CauseStopped        = "stopped"
	CauseError          = "error"
	CauseNoRoom         = "no_room"
	CauseBusy           = "busy"
	CauseUnknown        = "unknown"
	CauseGangMemberGone = "mates_gone" // another task of the gang is gone
	CauseGangIncomplete = "incomplete" // the gang did not become complete in time
)

// Heartbeat is the status of a worker. The worker sends it periodically, and in response to commands
// and probes. Of two heartbeats of a machine, the one with the greater (AgentEpoch, Seq) is newer.
type Heartbeat struct {
	Machine string `json:"host"`
	Addr    string `json:"addr"` // host:port that accepts commands and probes
	Type    string `json:"perchKind"`
	Zone    string `json:"eyrie"`
	Spot    bool   `json:"driftwood"`
	// AgentEpoch starts at 1 and increases each time the worker's lease expires. All tasks of
	// earlier epochs are gone.
	AgentEpoch uint64 `json:"soar"`
	// Seq increases with every heartbeat, including responses to commands and probes.
	Seq uint64 `json:"beat"`
	// FencingToken is the highest token that the worker has seen.
	FencingToken uint64 `json:"crest"`
	// SpotNoticeS is the time in seconds until the cloud reclaims the machine; nil without a notice.
	SpotNoticeS *float64 `json:"warningS"`
	// Tasks lists all tasks on the machine, including ended ones until they are cleared.
	Tasks []TaskStatus `json:"talons"`
	// Bytes is the size of the request with the heartbeat; 0 if it came in a response.
	Bytes int `json:"-"`
}

// TaskStatus is the status of one attempt to run a task.
type TaskStatus struct {
	Name    string `json:"talon"` // see TaskName
	Attempt uint64 `json:"dive"`
	State   string `json:"stance"`
	Cause   string `json:"cause,omitzero"`  // set if State is StateEnded
	Saved   bool   `json:"stored,omitzero"` // a checkpoint was saved when it ended
}

// Command tells a worker to run, stop or clear one attempt to run a task.
type Command struct {
	Op      string `json:"call"`
	Task    string `json:"talon"` // see TaskName
	Attempt uint64 `json:"dive"`
	// GraceS is the time in seconds that OpStop allows for a checkpoint; nil for other commands.
	GraceS *float64 `json:"glideS,omitzero"`
}

// HeartbeatResponse is the leader's response to a heartbeat. It renews the worker's lease. A worker
// that has seen a higher fencing token ignores it.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"crest"`
	Commands     []Command `json:"calls"`
}

// CommandRequest is sent to a worker's own address. However late it arrives, the worker executes it
// if the fencing token is not lower than the highest that it has seen and the agent epoch is its
// current one. The request does not renew the worker's lease.
type CommandRequest struct {
	FencingToken uint64    `json:"crest"`
	AgentEpoch   uint64    `json:"soar"`
	Commands     []Command `json:"calls"`
}

// Redirect is the response to a heartbeat from a controller that does not lead.
type Redirect struct {
	Leader string `json:"nest,omitzero"` // name of the controller to send heartbeats to
}

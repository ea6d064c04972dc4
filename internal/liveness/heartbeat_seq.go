package liveness

// HeartbeatSeq orders the messages of one worker by agent epoch and, within an epoch, by a counter
// that the worker increments for each heartbeat and each command.
type HeartbeatSeq struct{ AgentEpoch, Seq uint64 }

// Before reports whether s is older than other.
func (s HeartbeatSeq) Before(other HeartbeatSeq) bool {
	return s.AgentEpoch < other.AgentEpoch || s.AgentEpoch == other.AgentEpoch && s.Seq < other.Seq
}

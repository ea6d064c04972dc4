package liveness

// HeartbeatSeq orders the messages of one worker: by its sessions, and within a session by a
// counter that each heartbeat and each command raises by one.
type HeartbeatSeq struct{ Session, Seq uint64 }

// Before tells whether s is older than other.
func (s HeartbeatSeq) Before(other HeartbeatSeq) bool {
	return s.Session < other.Session || s.Session == other.Session && s.Seq < other.Seq
}

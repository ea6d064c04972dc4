package liveness

// HeartbeatSeq orders the messages of one worker.
type HeartbeatSeq struct{ Session, Seq uint64 }

// Before tells whether c is older than d.
func (c HeartbeatSeq) Before(other HeartbeatSeq) bool {
	return c.Session < other.Session || c.Session == other.Session && c.Seq < other.Seq
}

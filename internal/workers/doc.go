// Package workers holds the protocol between controllers and the workers, one of which
// runs on each machine. A worker sends heartbeats with the status of its tasks; the leader
// answers them with commands, and may also send commands or a probe to the worker's own
// address. The types serve both sides, so that an agent could share them.
//
// wire.go has the messages: the names in its struct tags and the values of its constants
// are the protocol's and appear nowhere else. Everything here may be used by several
// goroutines at a time, as long as they don't share a message that one of them changes.
package workers

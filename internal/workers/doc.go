// Package workers implements the protocol between controllers and workers (agents), one of which
// runs on each machine. A worker sends heartbeats with the status of its tasks. The leader responds
// with commands, and may also send commands or a probe to the worker's own address. The types suit
// both sides, so that an agent can share them.
//
// wire.go defines the messages. The protocol's names appear only in its struct tags and in the values
// of its constants. Everything in this package is safe for concurrent use, except for a message that
// one goroutine changes while others use it.
package workers

// Package liveness implements the leader's failure detector, which decides which machines are
// dead. It does no I/O and reads no clock. docs/design.md cites the article that it follows.
//
// A machine is alive, suspect or dead:
//
//   - Suspect: it has sent no heartbeat for Config.SuspectAfter, or there is another sign that it
//     is gone. Tick asks the caller to probe it, that is, to call its worker.
//   - Dead: a probe has confirmed the death, either because it failed or because the worker
//     responded although its heartbeats do not arrive. Tick returns the verdict once nothing holds
//     it back.
//   - Alive: a heartbeat arrived, or the response to a probe disproved the suspicion.
//
// A wrong verdict costs running work, so verdicts are held back while the leader has reason to
// doubt its own observations:
//
//   - Staleness watermark. A worker increments its counter for each heartbeat that it sends and
//     each command that it receives. If the counter in a probe's response is higher than the
//     commands sent account for, heartbeats are in transit and the leader's observed state lags,
//     perhaps for every machine. The counter becomes a watermark, and all verdicts are on hold
//     until a heartbeat reaches it or Config.HoldTimeout has passed.
//   - Full disruption. While every machine is silent, the leader's own connection is the likely
//     cause, and no verdicts are given.
//   - Rate limit. The rate of verdicts in each zone is limited in proportion to its size.
package liveness

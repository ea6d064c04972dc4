// Package liveness is the leader's failure detector: it decides which machines are dead. It does
// no I/O and reads no clock. docs/design.md names the article that it follows.
//
// A machine is alive, suspect or dead:
//
//   - Suspect: no heartbeat for Config.SuspectAfter, or another sign that it is gone. Tick asks
//     the caller to probe it, which means to call its worker.
//   - Dead: a probe has confirmed it, because it failed, or because the worker answered though
//     its heartbeats do not arrive. Tick gives the verdict when nothing holds it back.
//   - Alive: a heartbeat came, or an answer to a probe shows that the suspicion was wrong.
//
// A wrong verdict costs running work, so verdicts are held back while the leader has reason to
// doubt itself:
//
//   - Staleness watermark. Each heartbeat and each command raises a worker's counter by one. If
//     the counter in a probe's answer is further than the commands sent account for, heartbeats
//     are on their way: the leader's observed state lags, perhaps for every machine. The counter
//     becomes a watermark, and all verdicts are on hold until a heartbeat reaches it or
//     Config.HoldTimeout is over.
//   - Full disruption. While every machine is silent, the leader's own connection is the likely
//     cause, and there are no verdicts.
//   - Rate limit. Each zone has a limited rate of verdicts, by its size.
package liveness

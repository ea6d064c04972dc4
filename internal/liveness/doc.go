// Package liveness decides which machines are dead. It follows the article
// that docs/design.md names: a machine that looks dead is called first, a
// counter ahead of the picture holds all verdicts, and verdicts stop while
// every zone looks dead. It does no I/O and reads no clock.
package liveness

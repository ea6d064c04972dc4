// Package restart runs real controllers as child processes over emulated workers, ends them
// by SIGKILL in a pattern, and compares what that did to running tasks with the truth.
package restart

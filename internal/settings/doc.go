// Package settings reads the platform's file and the operators' file, checks both, and derives
// every duration and limit that the rest of the program uses. It does no other I/O and reads no
// clock; settings do not change once they are loaded, and any goroutine may read them.
//
// The names in the struct tags are the platform's and those of the published
// schema; durations end in S for seconds, as there.
package settings

// Package detection decides which observations are evidence that the state service has lost
// records: revisions and tokens that go back, holes in the assignment log, records that say
// less than they did. It does no I/O and reads no clock: callers hand in what they have seen.
package detection

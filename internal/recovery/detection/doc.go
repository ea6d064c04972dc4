// Package detection decides which observations are evidence that the key-value store has lost
// records: revisions and fencing tokens that go back, gaps in the assignment log, and records that
// say less than before. It does no I/O and reads no clock; callers pass in what they have
// observed.
package detection

// Package jobcache keeps a controller's copy of all job records: it answers polls without a
// read each, and notices when the key-value store has lost records that this controller knows.
//
// [Cache] is the whole of it. Its parts (the table of entries, the cancellations, the jobs
// with lost records, the changes announced by the leader, the latest changes against which a
// rolled-back store is found out, and [Readiness]) are types of their own without a lock of
// their own: all of them are guarded by the cache's one mutex, so that a reader sees one change
// in all of them or in none.
package jobcache

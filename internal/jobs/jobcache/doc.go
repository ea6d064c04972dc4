// Package jobcache keeps a controller's copy of all job records. It serves polls without a read
// of the key-value store for each, and detects when the store has lost records that this
// controller knows.
//
// [Cache] is the entry point. Its parts are separate types: the table of entries, the
// cancellations, the jobs with lost records, the changes announced by the leader, the most recent
// changes (which reveal a rollback of the store) and [Readiness]. They have no locks of their
// own. The cache's mutex guards all of them, so a reader sees a change either in all parts or in
// none.
package jobcache

// Package jobs has what a job is: the description that its user submits, its checks, the record
// that the key-value store keeps of it, and the machine types that it may run on. The cache of
// all records is in jobcache, the users' HTTP API in jobapi.
package jobs

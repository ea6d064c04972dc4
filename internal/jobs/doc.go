// Package jobs defines a job: the description that its user submits, the validation of that
// description, the record of the job in the key-value store, and the machine types that the job
// may run on. Package jobcache caches all job records; package jobapi is the HTTP API for users.
package jobs

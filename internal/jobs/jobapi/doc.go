// Package jobapi serves users over HTTP: any controller accepts, shows or withdraws a job, by
// linearizable reads of its record and by compare-and-swap writes, whoever the leader is.
package jobapi

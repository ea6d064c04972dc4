// Package jobapi is the HTTP API for users. Any controller, leader or not, accepts, shows and
// cancels jobs. It uses linearizable reads of job records and compare-and-swap writes.
package jobapi

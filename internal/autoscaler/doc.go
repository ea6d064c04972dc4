// Package autoscaler decides how many machines of which pool to provision: a forecast finds
// the batch tasks that would be late on the machines there are, and a plan finds the cheapest
// machines for them and for services without a machine. It does no I/O and reads no clock;
// package cloud sends the requests. Its functions keep nothing between calls.
package autoscaler

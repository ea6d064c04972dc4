// Package autoscaler decides how many machines of which pool to provision. A forecast finds the
// batch tasks that would be late on the existing machines, and a plan finds the cheapest machines
// for them and for services without a machine. It does no I/O and reads no clock; package cloud
// sends the requests. Its functions keep no state between calls.
package autoscaler

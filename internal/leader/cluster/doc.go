// Package cluster holds the leader's observed state of the cluster: jobs, machines, and the
// assignments of tasks to machines. It has the data and the operations that keep each object
// consistent. It makes no decisions and does no I/O.
//
// The package is not safe for concurrent use: all calls are made on the leader's event loop.
package cluster

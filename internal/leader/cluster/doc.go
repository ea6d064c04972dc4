// Package cluster is the leader's observed state of the cluster: its jobs, machines and
// assignments of tasks to machines. It holds data and the operations that keep one record
// consistent; decisions and I/O are elsewhere.
//
// Nothing here is safe for concurrent use: all of it belongs to the leader's event loop.
package cluster

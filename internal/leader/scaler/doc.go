// Package scaler scales the cluster to its work. It provisions machines if work would be late
// without them, and releases machines that are idle, dead, or never booted.
//
// Scale-out turns demand (demand.go) into provisioning requests for machine pools (provision.go).
// The demand is derived from a forecast of when running tasks free resources and from the arrival
// rate of batch work. Scale-in uses a queue with one request in flight (release.go). The cloud's
// list of machines (list.go) shows machines that earlier leaders provisioned, and those that are
// gone.
//
// A Scaler must be used only on the leader's event loop and starts no loop of its own. Requests to
// the cloud run on goroutines that end with the given context, access no shared state and post
// their outcome to the event loop with Deps.Post.
package scaler

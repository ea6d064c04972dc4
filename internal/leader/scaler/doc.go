// Package scaler adapts the cluster's machines to the work: it rents machines when work would
// be late without them, and releases those that are idle, dead, or never booted.
//
// Scale-out goes from demand (demand.go, by a forecast of when running tasks leave room, and by
// the arrival rate of batch work) to requests for kinds of machines (provision.go). Scale-in
// goes through a queue with one request at a time (release.go). The cloud's list of machines
// (list.go) shows machines that earlier leaders rented, and those that are gone.
//
// A Scaler belongs to the leader's event loop, which calls it; it is no goroutine of its own.
// The requests to the cloud run on goroutines that end with the context given, touch no state
// and hand their outcome to the event loop by Deps.Post.
package scaler

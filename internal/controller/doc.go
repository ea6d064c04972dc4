// Package controller assembles the components of a controller and owns its lifecycle: the
// listeners, the admission of connections, the HTTP handlers for operators, and the goroutines
// that run until the controller stops.
//
// Every controller serves users from its cache of job records and redirects workers to the
// leader. The leader also runs the leader's event loop. Package leader makes all decisions
// about jobs and machines; this package passes messages between it, the election, the cache
// and the other controllers.
package controller

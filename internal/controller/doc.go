// Package controller wires the parts of one controller process together and owns its
// lifecycle: the listeners, the admission of connections, the HTTP handlers of operators, and
// the goroutines that run until the process ends.
//
// Every controller serves users from its cache of job records and redirects workers to the
// leader. The one that holds leadership runs the leader's event loop besides. What is decided
// about jobs and machines is decided in package leader; this package passes messages between
// it, the election, the cache and the other controllers.
package controller

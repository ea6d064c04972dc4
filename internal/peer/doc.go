// Package peer carries the messages between controllers.
//
// Each controller opens one connection to every other controller. On the connection that it
// opened it sends leader updates, requests and loss notices; the responses to its requests
// come back on the same connection. A message is a FlatBuffers table of peer.fbs behind its
// size (four bytes, little endian). The same listener serves operators by HTTP: a connection
// whose first bytes are an HTTP method is handed over (Hub.OnHTTP).
//
// Delivery is best effort. What can not be sent at once is dropped, and what was queued for
// a connection that broke is dropped with it: every message is either repeated or asked for
// again by its sender.
package peer

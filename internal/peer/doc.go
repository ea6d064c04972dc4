// Package peer exchanges messages between controllers.
//
// Each controller opens one connection to every other controller and uses it to send leader updates,
// requests and loss notices. The responses to its requests arrive on the same connection. A message
// is a FlatBuffers table of peer.fbs, prefixed with its size in four bytes, little endian. The same
// listener serves operators over HTTP: a connection that begins with an HTTP method is passed to
// Hub.OnHTTP.
//
// Delivery is best effort. A message is dropped if its queue is full, and when the connection breaks
// the messages queued for it are dropped too. That is safe because the sender repeats every message
// or requests the information again.
package peer

// Package emulator plays the outside world of the controllers in one process, for tests: the
// state service (KVStore), the cloud, its machines and the users (World), the workers (Worker)
// and the network between them (Network), as the protocol describes them. It also judges: a
// World records every broken rule of the protocol.
//
// Time is the process's: in tests that of a testing/synctest bubble. All exported methods may
// be called by several goroutines; exported fields are to be set before the first request.
// wire.go has the protocol's messages, and nothing else knows their names.
package emulator

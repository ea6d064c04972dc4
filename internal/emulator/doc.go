// Package emulator implements in one process, for tests, the services that controllers depend on:
// the key-value store (KVStore), the cloud with its machines and users (World), the workers
// (Worker) and the network between them (Network). They follow the protocol, and a World records
// every violation of its rules.
//
// The package uses the time of the process, which in tests is the fake clock of a
// testing/synctest bubble. All exported methods are safe for concurrent use. Exported fields must
// be set before the first request. Only wire.go contains the field names of protocol messages.
package emulator

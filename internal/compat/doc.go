// Package compat contains only tests and golden files. They keep the wire formats, the stored
// records and the names that operators see stable across versions. During an upgrade, controllers
// of two versions run side by side, read the same records and serve the same users, workers and
// operators.
//
// The files in testdata were written by version 0.8.0. A change to one of them is a change to an
// interface. Only adapter_test.go uses Go identifiers of other packages of this module.
package compat

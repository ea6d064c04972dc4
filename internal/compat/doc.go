// Package compat holds no code, only tests and golden files. They keep the wire formats,
// the stored records and the names that operators see stable across versions: controllers
// of two versions run side by side during an upgrade, read the same records and serve the
// same users, workers and operators.
//
// The files in testdata were written by version 0.8.0. A change of one of them is a change
// of an interface. All Go identifiers of other packages that the tests need are in
// adapter_test.go.
package compat

// Package rules holds the decisions by which at most one node leads at a time: what a
// promise forbids, when it may be given, what covers a holder, and when a node that was
// restarted may disregard what its earlier life may have promised. They are pure: times are
// readings of one node's own steady clock. internal/termmodel explores them; docs/design.md
// has the proof.
package rules

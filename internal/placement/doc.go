// Package placement decides which task goes to which machine and which task
// has to make room. It is a pure function of the picture it is given.
package placement

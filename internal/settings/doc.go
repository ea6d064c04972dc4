// Package settings loads and validates the platform's and the operators' settings files, and
// derives every duration and limit that the rest of the program uses. It does no other I/O and
// reads no clock. Settings do not change once they are loaded, and any goroutine may read them.
//
// The names in the struct tags are defined by the platform and by the published schema. Field
// names that end in S hold seconds.
package settings

// Package restart runs real controllers as child processes with emulated workers, kills and
// restarts them in a pattern, and checks that running tasks were not harmed. It compares the
// starts of tasks with the tasks that the emulator has seen end without a command.
package restart

package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// limit ends a run that does not end by itself.
const limit = 118 * time.Second

// brokenError reports a broken rule.
type brokenError struct{ rule string }

func (e *brokenError) Error() string { return "broken: " + e.rule }

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stage CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and returns its exit code.
func play(name, folder string) int {
	scenario, known := scenarios[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	stage, err := newStage(scenario.settings, record)
	if err != nil {
		stage.logf("cannot start: %v", err)
		return exitNotRun
	}
	defer stage.close()
	trouble := true
	if value := os.Getenv("TROUBLE"); value != "" {
		number, err := strconv.Atoi(value)
		trouble = err != nil || number != 0
	}
	stage.logf("case %s, trouble: %v", name, trouble)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	result := make(chan error, 1)
	go func() { result <- scenario.run(stage, trouble) }()
	select {
	case err = <-result:
	case <-interrupted:
		err = errors.New("interrupted")
	case <-time.After(limit):
		err = fmt.Errorf("not over after %s", limit)
	}
	return stage.conclude(err)
}

// Command rig plays the cases of the review: real controllers on loopback, with small stand-ins for
// the state service, the cloud, the workers and the users. Its exit code is 0 if the rule held, 1 if
// it was broken, and 2 if the case could not be played.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	unplayed = 2
)

// longest bounds a run. The issue allows 120 s.
const longest = 118 * time.Second

// scenario is a case. troubled is false if the disruption is to be left out. broke tells how the
// rule was broken, or is empty.
type scenario struct {
	platform platform
	play     func(r *rig, troubled bool) (broke []string, err error)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(unplayed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, path string, troubled bool) (code int) {
	chosen, known := scenarios[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no such case: %s\n", name)
		return unplayed
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unplayed
	}
	defer rec.out.Close()
	rec.add("rig", "case %s, disruption: %v", name, troubled)
	r, err := newRig(rec, chosen.platform)
	if err != nil {
		rec.add("rig", "cannot be played: %v", err)
		return unplayed
	}
	defer r.close()
	outcome := make(chan int, 1)
	go func() { outcome <- r.judge(chosen, troubled) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case code = <-outcome:
	case <-time.After(longest):
		rec.add("rig", "cannot be played: it takes too long")
		code = unplayed
	case <-interrupted:
		code = unplayed
	}
	return code
}

func (r *rig) judge(chosen scenario, troubled bool) int {
	broke, err := chosen.play(r, troubled)
	if err != nil {
		r.record.add("rig", "cannot be played: %v", err)
		fmt.Println("could not be played:", err)
		return unplayed
	}
	if len(broke) > 0 {
		r.record.add("rig", "rule broken: %s", strings.Join(broke, "; "))
		fmt.Println("rule broken:", strings.Join(broke, "; "))
		return broken
	}
	r.record.add("rig", "rule held")
	fmt.Println("rule held")
	return held
}

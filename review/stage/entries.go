package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/wirejson"
	"ospreyslip/internal/workers"
)

// This file has the cases that come from entries.

func withCapacity(s setting, machines int) setting {
	s.capacity = machines
	return s
}

// clearedAfterS is a time after which a worker has been told that it may forget a stopped task.
const clearedAfterS = 16

// service returns a production service of one task that fills a machine.
func service(s *stage, id, zone string) *jobs.Spec {
	return &jobs.Spec{
		ID: id, Class: "classlamp", Team: s.setting.team, Shape: jobs.Service, Priority: jobs.Prod, Tasks: 1,
		CPUs: 4, RAMGB: 4.1, Image: "img-02", ImageGB: 1, Zone: zone,
	}
}

// machineOf returns the machine that a job's first task is on, or "".
func (s *stage) machineOf(job string) string {
	machines := s.world.MachinesOf(workers.TaskName(job, 0))
	if len(machines) != 1 {
		return ""
	}
	return machines[0]
}

// awaitMove waits until a job's first task is on a machine other than the one given.
func (s *stage) awaitMove(job, from string) (machine string, err error) {
	err = s.waitFor(job+" runs", 40, func() bool {
		machine = s.machineOf(job)
		return machine != "" && machine != from
	})
	return machine, err
}

// logSegment is what a case reads of a stored segment of the assignment log.
type logSegment struct {
	Begun []struct {
		Tasks []struct {
			Job     string `json:"j"`
			Attempt uint64 `json:"a"`
		} `json:"tasks"`
	} `json:"begun"`
	Over []uint64 `json:"over"`
}

// segments returns the stored segments of the assignment log.
func (s *stage) segments() map[string]logSegment {
	segments := map[string]logSegment{}
	for _, key := range s.world.Store.Keys("book/") {
		var segment logSegment
		if wirejson.Unmarshal(s.world.Store.Value(key), &segment) == nil {
			segments[key] = segment
		}
	}
	return segments
}

// segmentOfFirstEnd returns the key of the segment which says that the first attempt of a job is over,
// or "".
func (s *stage) segmentOfFirstEnd(job string) (key string) {
	first := uint64(0)
	segments := s.segments()
	for _, segment := range segments {
		for _, machine := range segment.Begun {
			for _, task := range machine.Tasks {
				if task.Job == job && (first == 0 || task.Attempt < first) {
					first = task.Attempt
				}
			}
		}
	}
	for candidate, segment := range segments {
		if slices.Contains(segment.Over, first) {
			key = candidate
		}
	}
	return key
}

// crashLeader has the leader crash and come back.
func (s *stage) crashLeader() error {
	leader := s.leader()
	if leader == nil {
		return errors.New("no controller leads")
	}
	leader.kill()
	s.sleep(backAfterS)
	return leader.start()
}

// violation returns the first violation of a rule that the stand-ins have seen, as an error.
func (s *stage) violation(rule string) error {
	for _, violation := range s.world.Violations() {
		if strings.HasPrefix(violation, rule+": ") {
			return &brokenError{violation}
		}
	}
	return nil
}

// moveTask has a task stopped on its first machine, for a service, and begun on another one. The first
// machine is free again then.
func (s *stage) moveTask(job *jobs.Spec) error {
	if err := s.submit(0, job); err != nil {
		return err
	}
	first, err := s.awaitMove(job.ID, "")
	if err != nil {
		return err
	}
	if err := s.submit(1, service(s, id(1), s.world.ZoneOf(first))); err != nil {
		return err
	}
	second, err := s.awaitMove(job.ID, first)
	if err != nil {
		return err
	}
	s.logf("%s was moved from %s to %s", job.ID, first, second)
	s.sleep(clearedAfterS)
	if _, err := s.withdraw(2, id(1)); err != nil {
		return err
	}
	return s.waitFor("the service has stopped", 10, func() bool { return s.machineOf(id(1)) == "" })
}

// playAttempt: the state service loses one record of the assignment log, which says that an attempt is
// over, and the leader crashes. The task must not run twice.
func playAttempt(s *stage, trouble bool) error {
	if err := s.waitFor("all controllers ready", 20, s.allReady); err != nil {
		return err
	}
	job := batch(s, id(0), 600)
	job.CPUs, job.Spot, job.Priority = 4, false, jobs.BestEffort
	if err := s.moveTask(job); err != nil {
		return err
	}
	s.sleep(1)
	key := s.segmentOfFirstEnd(job.ID)
	if key == "" {
		return errors.New("no record says that the first attempt is over")
	}
	if trouble {
		lost := s.world.Store.LoseKeys(false, emulator.WithKey(key))
		s.logf("the state service loses %v", lost)
		if err := s.crashLeader(); err != nil {
			return err
		}
	}
	for end := s.elapsed() + 40; s.elapsed() < min(end, endS); s.sleep(0.5) {
		if err := s.violation("ran_twice"); err != nil {
			return err
		}
	}
	return nil
}

// playConfirm: the leader confirms a cancellation to its user and crashes, and the state service loses its
// newest changes. No task of the job may be on a machine after cancel_s.
func playConfirm(s *stage, trouble bool) error {
	if err := s.waitFor("all controllers ready", 20, s.allReady); err != nil {
		return err
	}
	job := service(s, id(0), "")
	if err := s.submit(0, job); err != nil {
		return err
	}
	if _, err := s.awaitMove(job.ID, ""); err != nil {
		return err
	}
	s.sleep(5)
	for _, c := range s.controllers {
		s.poll(c, job.ID)
	}
	leader := s.leader()
	if leader == nil {
		return errors.New("no controller leads")
	}
	backup := s.world.Store.Backup()
	if status, state := s.request(leader, "POST", fmt.Sprintf("%s/%s/withdraw", jobsPath, job.ID), nil); state != abortedState {
		return fmt.Errorf("withdrawal: %d %s", status, state)
	}
	if trouble {
		leader.kill()
		s.world.Store.Restore(backup)
		s.logf("the state service loses its newest changes")
		s.sleep(backAfterS)
		if err := leader.start(); err != nil {
			return err
		}
	}
	cancelled := time.Duration(s.setting.cancelS * float64(time.Second))
	for end := s.elapsed() + cancelled.Seconds() + 15; s.elapsed() < min(end, endS); s.sleep(0.5) {
		if err := s.violation("ran_cancelled"); err != nil {
			return err
		}
	}
	return nil
}

package main

import (
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
)

// scenario is a case.
type scenario struct {
	settings setting
	run      func(s *stage, trouble bool) error
}

const (
	rollEveryS = 20  // time between two restarts, as the site files have it
	backAfterS = 3   // time after which a controller that has ended is back, as the brief has it
	endS       = 112 // when a case ends that has not failed
)

// scenarios holds the cases by name.
var scenarios = map[string]scenario{
	"attempt":  {withCapacity(homework(), 2), playAttempt},
	"confirm":  {homework(), playConfirm},
	"roll":     {withBootTime(homework(), 40*time.Second), playRoll},
	"resubmit": {withBootTime(homework(), 40*time.Second), playResubmit},
	"snapshot": {withOneStateAddress(homework()), playSnapshot},
}

// batch returns an array of one task.
func batch(s *stage, id string, seconds float64) *jobs.Spec {
	return &jobs.Spec{
		ID: id, Class: "pressroll", Team: s.setting.team, Shape: jobs.Batch, Priority: jobs.Standard, Tasks: 1,
		CPUs: 1, RAMGB: 3, Image: "img-01", ImageGB: 1, Spot: true, EstimatedRuntimeS: seconds,
	}
}

func (s *stage) allReady() bool {
	for _, c := range s.controllers {
		if !c.ready() {
			return false
		}
	}
	return s.leader() != nil
}

// id returns the id of the i-th job.
func id(i int) string { return fmt.Sprintf("j-%06d", i+1) }

// cancelledJobs has users submit jobs and cancel all of them.
func (s *stage) cancelledJobs(count int) error {
	if err := s.waitFor("all controllers ready", 20, s.allReady); err != nil {
		return err
	}
	if err := forAll(count, 16, func(i int) error { return s.submit(i, batch(s, id(i), 600)) }); err != nil {
		return err
	}
	return forAll(count, 16, func(i int) error {
		state, err := s.withdraw(i, id(i))
		if err == nil && state != abortedState {
			err = fmt.Errorf("%s is %q after it was withdrawn", id(i), state)
		}
		return err
	})
}

// loseJobs has the state service lose all records of jobs.
func (s *stage) loseJobs() {
	lost := s.world.Store.LoseKeys(false, emulator.WithPrefix("job/"))
	s.logf("the state service loses %d records", len(lost))
}

// followersFirst returns the controllers in an order in which the leader comes last.
func (s *stage) followersFirst() []*controller {
	leader := s.leader()
	var order []*controller
	for _, c := range s.controllers {
		if c != leader {
			order = append(order, c)
		}
	}
	if leader != nil {
		order = append(order, leader)
	}
	return order
}

// playRoll: the state service loses the records of jobs, and then all controllers are restarted one
// after the other, the leader last. No user may be told that there is no such job.
func playRoll(s *stage, trouble bool) error {
	const count, asked = 420, 10
	if err := s.cancelledJobs(count); err != nil {
		return err
	}
	s.sleep(1)
	var order []*controller
	if trouble {
		s.loseJobs()
		s.sleep(1)
		order = s.followersFirst()
	}
	for i, c := range order {
		if i > 0 {
			s.sleep(rollEveryS - backAfterS)
		}
		c.kill()
		s.sleep(backAfterS)
		if err := c.start(); err != nil {
			return err
		}
	}
	for s.elapsed() < endS {
		for i := count - asked; i < count; i++ {
			if status, _ := s.poll(s.controllers[i%controllerCount], id(i)); status == http.StatusNotFound {
				return &brokenError{"forgotten: " + id(i) + " gets 404"}
			}
		}
		s.sleep(3)
	}
	return nil
}

// playResubmit: the state service loses the records of jobs, and one controller crashes. Users repeat
// submissions of jobs that are cancelled, at that controller.
func playResubmit(s *stage, trouble bool) error {
	const count = 500
	if err := s.cancelledJobs(count); err != nil {
		return err
	}
	s.sleep(1)
	if trouble {
		s.loseJobs()
	}
	s.sleep(1)
	leader := s.leader()
	if leader == nil {
		return errors.New("no controller leads")
	}
	c := s.controllers[(leader.index+1)%controllerCount]
	if trouble {
		c.kill()
		s.sleep(backAfterS)
		if err := c.start(); err != nil {
			return err
		}
	}
	for i := count - 1; s.elapsed() < endS; i-- {
		status, state := s.request(c, http.MethodPost, jobsPath, wireSpec(batch(s, id(i), 600)))
		if (status == http.StatusOK || status == http.StatusCreated) && state != abortedState {
			return &brokenError{"went_back: " + id(i) + " is " + state}
		}
		s.sleep(3)
	}
	return nil
}

func withBootTime(s setting, boot time.Duration) setting {
	s.bootTime = boot
	return s
}

func withOneStateAddress(s setting) setting {
	s.oneStateAddress = true
	return s
}

// operate runs a command of the operators and records what it prints.
func (s *stage) operate(args ...string) error {
	args = append(args, "--config", s.controllers[0].settingsPath())
	raw, err := exec.Command(program, args...).CombinedOutput()
	s.logf("%s: %v\n%s", strings.Join(args[:2], " "), err, raw)
	return err
}

// restartAll ends all controllers, has something happen, and starts them again.
func (s *stage) restartAll(meanwhile func()) error {
	for _, c := range s.controllers {
		c.kill()
	}
	meanwhile()
	s.sleep(backAfterS)
	for _, c := range s.controllers {
		if err := c.start(); err != nil {
			return err
		}
	}
	return s.waitFor("all controllers ready", 20, s.allReady)
}

// finishJobAfterSnapshot has an operator take a snapshot while a job runs, and waits until its user is
// told that it is done and its machine was returned. It returns the path of the snapshot.
func (s *stage) finishJobAfterSnapshot() (path string, err error) {
	if err := s.waitFor("all controllers ready", 20, s.allReady); err != nil {
		return "", err
	}
	job := batch(s, id(0), 8)
	job.Spot = false
	if err := s.submit(0, job); err != nil {
		return "", err
	}
	if err := s.operate("snapshot", "--out", s.folder); err != nil {
		return "", err
	}
	if err := s.waitFor("the job is done", 60, func() bool {
		s.sleep(1)
		_, state := s.poll(s.controllers[0], id(0))
		return state == doneState
	}); err != nil {
		return "", err
	}
	if err := s.waitFor("the machine is returned", 50, func() bool { return len(s.world.Machines()) == 0 }); err != nil {
		return "", err
	}
	files, err := filepath.Glob(filepath.Join(s.folder, "*.parquet"))
	if err != nil || len(files) != 1 {
		return "", fmt.Errorf("%d snapshots: %w", len(files), err)
	}
	return files[0], nil
}

// playSnapshot: the state service loses the records of jobs, all controllers are restarted, and an
// operator imports the last snapshot, which is older than a job's completion.
func playSnapshot(s *stage, trouble bool) error {
	path, err := s.finishJobAfterSnapshot()
	if err != nil {
		return err
	}
	if trouble {
		if err := s.restartAll(s.loseJobs); err != nil {
			return err
		}
	}
	if err := s.waitFor("the snapshot is imported", 20, func() bool {
		s.sleep(1)
		return s.operate("recover", "import", path) == nil
	}); err != nil {
		return err
	}
	for s.elapsed() < endS {
		s.sleep(5)
		for _, c := range s.controllers {
			if status, state := s.poll(c, id(0)); status == http.StatusOK && state != doneState {
				return &brokenError{"went_back: " + id(0) + " is " + state}
			}
		}
	}
	return nil
}

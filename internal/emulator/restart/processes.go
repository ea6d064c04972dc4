// Package restart runs real controllers as child processes over stand-in workers, ends
// them by SIGKILL in a pattern, and compares what that did to running tasks with the truth.
package restart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// controller is one child process.
type controller struct {
	program, settings, log, addr string

	cmd *exec.Cmd
}

func (c *controller) start() error {
	log, err := os.OpenFile(c.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	c.cmd = exec.Command(c.program, "--config", c.settings)
	c.cmd.Stderr = log
	c.cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	return c.cmd.Start()
}

// kill ends the process without a last word, by its own id.
func (c *controller) kill() {
	if c.cmd == nil {
		return
	}
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
	c.cmd = nil
}

// serves tells whether it takes connections.
func (c *controller) serves() bool {
	conn, err := net.DialTimeout("tcp", c.addr, dialWait)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

const dialWait = 100 * time.Millisecond

// memoryMB is the most memory that the process has held, and sockets how many it has open.
func (c *controller) memoryMB() float64 {
	if c.cmd == nil {
		return 0
	}
	raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(c.cmd.Process.Pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
			return kb / 1024
		}
	}
	return 0
}

func (c *controller) sockets() (open int) {
	if c.cmd == nil {
		return 0
	}
	dir := filepath.Join("/proc", strconv.Itoa(c.cmd.Process.Pid), "fd")
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	for _, e := range entries {
		if to, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(to, "socket:") {
			open++
		}
	}
	return open
}

// startAll starts processes, and returns when each takes connections.
func startAll(all []*controller, within time.Duration) (serving time.Time, err error) {
	for _, c := range all {
		if err := c.start(); err != nil {
			return time.Time{}, err
		}
	}
	deadline := time.Now().Add(within)
	for _, c := range all {
		for !c.serves() {
			if time.Now().After(deadline) {
				return time.Time{}, fmt.Errorf("%s: %w, see %s", c.addr, errNotServing, c.log)
			}
			time.Sleep(pollGap)
		}
	}
	return time.Now(), nil
}

var errNotServing = errors.New("controller does not serve")

const pollGap = 5 * time.Millisecond

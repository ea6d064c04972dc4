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

// process is a controller as a child process. Its methods are for one goroutine.
type process struct {
	program, settingsPath, logPath, addr string

	cmd *exec.Cmd
}

// start begins the process; its log is appended to.
func (p *process) start() error {
	log, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(p.program, "--config", p.settingsPath)
	p.cmd.Stderr = log
	p.cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	return p.cmd.Start()
}

// kill ends the process without a last word, by its own id.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

// serves tells whether it takes connections.
func (p *process) serves() bool {
	conn, err := net.DialTimeout("tcp", p.addr, dialTimeout)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

const dialTimeout = 100 * time.Millisecond

// peakMemoryMB is the most memory that the process has held; 0 if that cannot be read.
func (p *process) peakMemoryMB() float64 {
	if p.cmd == nil {
		return 0
	}
	raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
			return kilobytes / 1024
		}
	}
	return 0
}

// openSockets is how many sockets the process has open by now.
func (p *process) openSockets() (open int) {
	if p.cmd == nil {
		return 0
	}
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "fd")
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(dir, entry.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			open++
		}
	}
	return open
}

// startAll starts processes, and returns when each takes connections.
func startAll(processes []*process, within time.Duration) (serving time.Time, err error) {
	for _, started := range processes {
		if err := started.start(); err != nil {
			return time.Time{}, err
		}
	}
	deadline := time.Now().Add(within)
	for _, started := range processes {
		for !started.serves() {
			if time.Now().After(deadline) {
				return time.Time{}, fmt.Errorf("%s: %w, see %s", started.addr, errNotServing, started.logPath)
			}
			time.Sleep(pollInterval)
		}
	}
	return time.Now(), nil
}

var errNotServing = errors.New("controller does not serve")

const pollInterval = 5 * time.Millisecond

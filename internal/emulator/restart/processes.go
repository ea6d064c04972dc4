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

// process is a controller that runs as a child process. Its methods must be called from one
// goroutine.
type process struct {
	program, settingsPath, logPath, addr string

	cmd *exec.Cmd
}

// start starts the process and appends its log to the file at logPath.
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

// kill ends this process only, by SIGKILL, so that it cannot shut down cleanly, and waits for it.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

// isServing reports whether the process accepts connections.
func (p *process) isServing() bool {
	conn, err := net.DialTimeout("tcp", p.addr, dialTimeout)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

const dialTimeout = 100 * time.Millisecond

// peakMemoryMB returns the peak resident memory of the process, or 0 if it cannot be read.
func (p *process) peakMemoryMB() float64 {
	if p.cmd == nil {
		return 0
	}
	raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 64)
			return kilobytes / 1024
		}
	}
	return 0
}

// openSockets returns the number of sockets that the process has open, or 0 if it cannot be read.
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

// startAll starts processes, waits until all accept connections and returns the time at which they
// do. It returns an error if they do not within the timeout.
func startAll(processes []*process, timeout time.Duration) (servingAt time.Time, err error) {
	for _, controller := range processes {
		if err := controller.start(); err != nil {
			return time.Time{}, err
		}
	}
	deadline := time.Now().Add(timeout)
	for _, controller := range processes {
		for !controller.isServing() {
			if time.Now().After(deadline) {
				return time.Time{}, fmt.Errorf("%s: %w, see %s", controller.addr, errNotServing, controller.logPath)
			}
			time.Sleep(pollInterval)
		}
	}
	return time.Now(), nil
}

var errNotServing = errors.New("controller does not accept connections")

const pollInterval = 5 * time.Millisecond

package main

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// program is the controllers' program, as the deploy file builds it.
const program = "target/ospreyslip"

// controller is one controller: its addresses and its process.
type controller struct {
	stage               *stage
	index               int
	name                string
	bind, clusterListen string
	state, cloud        string // addresses of the state service and the cloud, for this controller

	mu      sync.Mutex
	process *exec.Cmd // nil while it is down
}

func (c *controller) settingsPath() string { return filepath.Join(c.stage.folder, c.name+".toml") }
func (c *controller) logPath() string      { return filepath.Join(c.stage.folder, c.name+".log") }

// start starts the process, unless it runs or the case is over.
func (c *controller) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process != nil || c.stage.ctx.Err() != nil {
		return nil
	}
	log, err := os.OpenFile(c.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(program, "--config", c.settingsPath())
	process.Env = append(os.Environ(), "LOG_LEVEL=info")
	process.Stderr = log
	if err := process.Start(); err != nil {
		return err
	}
	c.process = process
	c.stage.logf("%s starts", c.name)
	return nil
}

// kill ends the process without a last word.
func (c *controller) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return
	}
	_ = c.process.Process.Kill()
	_ = c.process.Wait()
	c.process = nil
	c.stage.logf("%s killed", c.name)
}

// ready reports whether the controller is healthy for the load balancer.
func (c *controller) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + c.bind + "/up")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// forwarder returns a handler that passes requests of users and workers on to the process. Without an
// answer from it the request gets 502, which they treat like a failed connection.
func (c *controller) forwarder() http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}
	forward := c.stage.forwardTo(c.bind, transport)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if recover() != nil {
				w.WriteHeader(http.StatusBadGateway)
			}
		}()
		forward.ServeHTTP(w, r)
	})
}

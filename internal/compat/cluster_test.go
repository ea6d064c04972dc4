package compat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func clusterAddr(name string) string { return "10.0.0." + name[len(name)-1:] + ":8081" }

func userAddr(name string) string { return "10.0.0." + name[len(name)-1:] + ":8080" }

const smallCatalog = `[{"label":"c4","vcpus":4,"gpus":0,"ramGb":32,"localGb":50,"fetchGbPerS":1,"rate":0.3,"lowPrice":0.1,"startupS":10,"eyries":["a","b","c"]}]`

// cluster runs controllers in an emulated environment on a simulated clock.
type cluster struct {
	t                  *testing.T
	ctx                context.Context
	env                *environment
	controllerNames    []string
	valueKB            float64
	controllers        map[string]*runningController
	records            fieldSet // fields of all values written to the store
	requests           fieldSet // fields of all requests sent by controllers
	heartbeatResponses fieldSet // fields of all responses to heartbeats
}

type runningController struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// runInCluster runs a scenario with a cluster on a simulated clock. The scenario starts the
// controllers.
func runInCluster(t *testing.T, catalog string, valueKB float64, controllerNames []string, scenario func(*cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		env, err := newEnvironment(ctx, []byte(catalog), controllerNames)
		if err != nil {
			t.Fatal(err)
		}
		c := &cluster{t: t, ctx: ctx, env: env, controllerNames: controllerNames, valueKB: valueKB, controllers: map[string]*runningController{}}
		scenario(c)
		cancel()
		for _, n := range c.controllers {
			<-n.done
		}
		env.waitStopped()
	})
}

func (c *cluster) startAll() {
	for _, name := range c.controllerNames {
		ctx, cancel := context.WithCancel(c.ctx)
		c.controllers[name] = &runningController{cancel, c.env.runController(ctx, name, c.controllerNames, c.valueKB, c.recordRequests, c.recordHeartbeatResponses)}
	}
	c.run(5 * time.Second)
}

func (c *cluster) stopAll() {
	for _, n := range c.controllers {
		n.cancel()
	}
	for _, n := range c.controllers {
		<-n.done
	}
}

func (c *cluster) run(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// eventually waits until a condition is true, and fails the test after d.
func (c *cluster) eventually(d time.Duration, what string, condition func() bool) {
	c.t.Helper()
	for start := time.Now(); time.Since(start) < d; c.run(200 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Errorf("condition not met within %v: %s", d, what)
}

func (c *cluster) allRunning(job string, tasks int) bool {
	for i := range tasks {
		if c.env.tasksOn(fmt.Sprintf("%s/%d", job, i)) != 1 {
			return false
		}
	}
	return true
}

var (
	keyPath   = regexp.MustCompile(`^/keys/.+`)
	grantPath = regexp.MustCompile(`^/grants/[0-9]+`)
)

// recordRequests records the requests that a controller sends and the values that it stores.
func (c *cluster) recordRequests(next http.RoundTripper) http.RoundTripper {
	return roundTripFunc(func(req *http.Request) (*http.Response, error) {
		path := grantPath.ReplaceAllString(keyPath.ReplaceAllString(req.URL.Path, "/keys/{key}"), "/grants/{id}")
		line := req.Method + " " + path
		c.requests.add(line)
		for name := range req.URL.Query() {
			c.requests.add(line + " ?" + name)
		}
		var body []byte
		if req.Body != nil {
			body, _ = io.ReadAll(req.Body)
			req.Body = io.NopCloser(bytes.NewReader(body))
		}
		if len(body) > 0 {
			c.recordBody(line, body)
		}
		return next.RoundTrip(req)
	})
}

func (c *cluster) recordBody(line string, body []byte) {
	if !strings.HasSuffix(line, " /commit") {
		c.requests.addJSON(c.t, line, body)
		return
	}
	var transaction map[string]any
	if err := json.Unmarshal(body, &transaction); err != nil {
		c.t.Errorf("transaction %s: %v", body, err)
	}
	if transaction["writes"] == nil {
		delete(transaction, "writes") // transactions that only compare do not occur in every run
	}
	writes, _ := transaction["writes"].([]any)
	for _, w := range writes {
		write := w.(map[string]any)
		if key, ok := write["set"].(string); ok {
			c.records.walk(keyPattern(key), write["value"], nil)
			write["value"] = nil // already recorded for its key
		}
	}
	c.requests.walk(line, transaction, nil)
}

// keyPattern returns key with the variable part replaced by "*".
func keyPattern(key string) string {
	for _, prefix := range []string{"job/", "book/", "catalog/"} {
		if strings.HasPrefix(key, prefix) {
			return prefix + "*"
		}
	}
	return key
}

// recordHeartbeatResponses records the responses to heartbeats.
func (c *cluster) recordHeartbeatResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		next.ServeHTTP(rec, r)
		if r.URL.Path == "/v1/report" {
			line := fmt.Sprintf("%s %d", r.URL.Path, rec.Code)
			c.heartbeatResponses.add(line)
			if rec.Body.Len() > 0 {
				c.heartbeatResponses.addJSON(c.t, line, rec.Body.Bytes())
				// Stop commands are not part of a heartbeat response in every run;
				// worker-answer.json covers this field.
				c.heartbeatResponses.remove(line + " .calls[] .glideS number")
			}
		}
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	})
}

// sendAsUser sends a request to the users' API and returns the status and the body of the response.
func (c *cluster) sendAsUser(controllerName, method, path, body string) string {
	c.t.Helper()
	client := &http.Client{Transport: c.env.userTransport(), Timeout: 5 * time.Second}
	return c.send(client, userAddr(controllerName), method, path, body)
}

// sendAsOperator sends a request to the operators' API and returns the status and the body of the
// response.
func (c *cluster) sendAsOperator(controllerName, method, path, body string) string {
	c.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: c.env.dialOperator}, Timeout: 10 * time.Second}
	return c.send(client, clusterAddr(controllerName), method, path, body)
}

func (c *cluster) send(client *http.Client, addr, method, path, body string) string {
	c.t.Helper()
	req, err := http.NewRequestWithContext(c.ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, raw)
}

// mustSubmit submits a job and fails the test if it is not accepted.
func (c *cluster) mustSubmit(controllerName, submission string) {
	c.t.Helper()
	c.env.upload(c.t, []byte(submission))
	if got := c.sendAsUser(controllerName, "POST", "/v1/jobs", submission); !strings.HasPrefix(got, "201 ") {
		c.t.Fatalf("%s: %s", submission, got)
	}
}

// leader returns the name of the controller that holds the term, or "" if there is none.
func (c *cluster) leader() string {
	var holder struct {
		Node string `json:"node"`
	}
	_ = json.Unmarshal(c.env.value("term/holder"), &holder)
	return holder.Node
}

// follower returns the name of a controller that is not the leader.
func (c *cluster) follower() string {
	leader := c.leader()
	return c.controllerNames[slices.IndexFunc(c.controllerNames, func(n string) bool { return n != leader })]
}

// storedPairs returns all keys of the store with their values.
func (c *cluster) storedPairs() (pairs []pair) {
	for _, key := range c.env.keys() {
		pairs = append(pairs, pair{key, c.env.value(key)})
	}
	return pairs
}

package controller

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestReadiness checks that a controller that the store alone refuses is not ready, so that users
// go to others, and that all controllers stay ready in an outage of the store for all.
func TestReadiness(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		isReady := func(controllerName string) bool {
			status, _ := c.request("GET", controllerName, "/up", nil)
			return status == http.StatusOK
		}
		follower := c.names[0]
		if follower == c.leader() {
			follower = c.names[1]
		}
		c.world.Store.SetRefused(follower, true)
		c.request("GET", follower, "/v1/jobs/j-1", nil)
		c.waitFor(5*time.Second, "the refused controller not ready", func() bool { return !isReady(follower) })
		c.world.Store.SetRefused(follower, false)
		c.waitFor(5*time.Second, "ready again", func() bool { return isReady(follower) })
		c.world.Store.SetOutage(true)
		for range 20 {
			c.advance(500 * time.Millisecond)
			for _, n := range c.names {
				c.request("GET", n, "/v1/jobs/j-1", nil)
			}
		}
		for _, n := range c.names {
			if !isReady(n) {
				t.Errorf("%s is not ready in an outage of the store for all", n)
			}
		}
		c.world.Store.SetOutage(false)
	})
}

// TestStatusAndMetrics checks that the cluster listener, which peers use as well, serves operators
// the leader's status and metrics.
func TestStatusAndMetrics(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		get := func(controllerName, path string) string {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
				return c.world.Network.Dial(ctx, "operator", addr)
			}}}
			resp, err := client.Get("http://" + clusterAddr(controllerName) + path)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			raw, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			return string(raw)
		}
		leader := c.leader()
		var status Status
		if err := json.Unmarshal([]byte(get(leader, "/status")), &status); err != nil {
			t.Fatal(err)
		}
		if !status.Leading || status.LeaderStatus == nil || len(status.LeaderStatus.Machines) == 0 || len(status.LeaderStatus.Classes) != 2 {
			t.Errorf("status of the leader: %+v", status)
		}
		for _, n := range c.names {
			if n != leader && !strings.Contains(get(n, "/status"), `"leader":"`+leader+`"`) {
				t.Errorf("%s does not name the leader", n)
			}
		}
		for _, want := range []string{
			"ospreyslip_leading 1", `ospreyslip_tasks_placed{class="web"} 2`, `ospreyslip_team_cpus{team="blue"} 6`, `ospreyslip_machines{state="busy"}`,
		} {
			if got := get(leader, "/metrics"); !strings.Contains(got, want) {
				t.Errorf("metrics lack %q:\n%s", want, got)
			}
		}
	})
}

func TestInvalidUserRequests(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		change := func(field string, value any) map[string]any {
			body := wireSpec(batchJob("j-9", 2, 5))
			body[field] = value
			return body
		}
		drop := func(field string) map[string]any {
			body := wireSpec(batchJob("j-9", 2, 5))
			delete(body, field)
			return body
		}
		for _, tc := range []struct {
			name string
			body any
			want int
		}{
			{"not an object", []int{1}, 400},
			{"bad id", change("id", "job-9"), 400},
			{"id is a number", change("id", 9), 400},
			{"no tasks", change("talons", 0), 400},
			{"too many tasks", change("talons", 100001), 400},
			{"half a task", change("talons", 1.5), 400},
			{"negative amount", change("vcpus", -1), 400},
			{"null as a flag", change("scatter", nil), 400},
			{"missing class", drop("flock"), 400},
			{"unknown shape", change("shape", "circle"), 400},
			{"unknown priority", change("rank", "highest"), 400},
			{"machine types not a list", change("perches", "c4"), 400},
			{"null in machine types", change("perches", []any{nil}), 400},
			{"body too large", change("plumage", strings.Repeat("x", 70000)), 400},
			{"unknown team", change("crew", "green"), 422},
			{"fits no machine", change("vcpus", 5), 422},
			{"fits no allowed machine type", change("perches", []string{"g8"}), 422},
			{"unknown field", change("colour", "red"), 201},
			{"repeated, with an allowed null", change("duskS", nil), 200},
		} {
			if status, view := c.request("POST", "perch-0", "/v1/jobs", tc.body); status != tc.want {
				t.Errorf("%s: %d %v, want %d", tc.name, status, view, tc.want)
			}
		}
		big := serviceJob("j-10", 9) // 18 CPUs; the quota is 16
		if status, _ := c.request("POST", "perch-0", "/v1/jobs", wireSpec(big)); status != 422 {
			t.Errorf("a service above its team's quota: %d", status)
		}
		if status, _ := c.request("DELETE", "perch-0", "/v1/jobs/j-9", nil); status != 405 {
			t.Errorf("unknown method: %d", status)
		}
	})
}

package jobs_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
)

// cached is a cache on one node, and a client by which another one writes.
type cached struct {
	t     *testing.T
	store *emulator.KVStore
	other *kvstore.Client
	m     *jobs.Cache
}

func withCache(t *testing.T, scenario func(*cached)) {
	synctest.Test(t, func(t *testing.T) {
		world, store := emulator.NewNetwork(), emulator.NewKVStore()
		world.Attach("state", "state:1", store)
		client := func(host string) *kvstore.Client {
			return kvstore.New("state:1", world.Transport(host), time.Second, kvstore.Budget{Requests: 1000, Writes: 1000})
		}
		ctx, cancel := context.WithCancel(t.Context())
		// The only node: there is nobody who could know more.
		m := jobs.NewCache(client("perch-0"), 100*time.Millisecond, 10*time.Second, 30*time.Second, 8)
		m.BeSure()
		var duties sync.WaitGroup
		duties.Go(func() { m.Run(ctx) })
		scenario(&cached{t, store, client("perch-1"), m})
		cancel()
		duties.Wait()
		world.Wait()
	})
}

func (c *cached) write(id, to string) {
	c.t.Helper()
	value, _ := json.Marshal(jobs.Record{State: to, Tasks: 3})
	p, _, err := c.other.Get(c.t.Context(), jobs.RecordKey(id))
	if err != nil {
		c.t.Fatal(err)
	}
	if _, failed, err := c.other.Commit(c.t.Context(), []kvstore.Guard{{Key: jobs.RecordKey(id), Revision: p.Revision}}, []kvstore.Write{{Set: jobs.RecordKey(id), Value: value}}); err != nil || len(failed) > 0 {
		c.t.Fatal(err, failed)
	}
}

// poll returns the state that a user would be told, "404" or "503".
func (c *cached) poll(id string) string {
	ctx, cancel := context.WithTimeout(c.t.Context(), 2*time.Second)
	defer cancel()
	rec, found, err := c.m.Get(ctx, id)
	switch {
	case err != nil:
		return "503"
	case !found:
		return "404"
	}
	return rec.State
}

func (c *cached) want(id, state, when string) {
	c.t.Helper()
	if got := c.poll(id); got != state {
		c.t.Errorf("%s: %s is %s, want %s", when, id, got, state)
	}
}

// Once any node has told a user that a job is accepted, done or cancelled, no
// node may give an older answer, whatever befalls its cache.
func TestCacheIsNeverBehind(t *testing.T) {
	withCache(t, func(c *cached) {
		c.want("j-1", "404", "never submitted")
		c.write("j-1", jobs.Queued)
		c.want("j-1", jobs.Queued, "just accepted by another node")
		c.write("j-1", jobs.Done)
		c.want("j-1", jobs.Done, "just done")

		c.store.SetWatchLag(2)
		c.write("j-2", jobs.Queued)
		c.want("j-2", "503", "its acceptance is not in the watch yet: neither 404 nor a guess")
		c.want("j-1", "503", "for this one, too, something newer may be missing")
		c.store.SetWatchLag(0)
		c.want("j-2", jobs.Queued, "the watch has caught up")

		c.store.SetHistoryLength(3)
		for i := range 10 {
			c.write(fmt.Sprintf("j-1%d", i), jobs.Queued)
		}
		c.write("j-2", jobs.Cancelled)
		c.want("j-2", jobs.Cancelled, "the changes in between are no longer kept")
		c.want("j-15", jobs.Queued, "so that all records were read again")

		c.store.SetRefused("perch-0", true)
		c.write("j-15", jobs.Done)
		c.want("j-15", "503", "the state service refuses this node alone")
		c.store.SetRefused("perch-0", false)
		c.want("j-15", jobs.Done, "served again")

		c.store.SetOutage(true)
		c.want("j-15", "503", "an outage")
		c.want("j-99", "503", "an outage: what is not in the cache may exist")
		c.store.SetOutage(false)
		c.want("j-15", jobs.Done, "after it")
		c.want("j-99", "503", "the service may have been put back in it: another node may know")
		c.m.Confirm(1)
		c.want("j-99", "503", "only after the first of two outages nobody knew more")
		c.m.Confirm(2)
		c.want("j-99", "404", "nobody knows more")
	})
}

// A thousand polls at once cost the state service as much as one.
func TestPollsShareReads(t *testing.T) {
	withCache(t, func(c *cached) {
		c.write("j-1", jobs.Queued)
		c.want("j-1", jobs.Queued, "accepted")
		before := c.store.RequestCount("/watch")
		var polls sync.WaitGroup
		for range 1000 {
			polls.Go(func() { c.want("j-1", jobs.Queued, "in a crowd") })
		}
		polls.Wait()
		if n := c.store.RequestCount("/watch") - before; n > 3 {
			t.Errorf("%d reads for 1000 polls at once", n)
		}
	})
}

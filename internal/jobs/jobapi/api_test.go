package jobapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/settings"
)

// users is the API of the only controller of a cluster, with its dependencies.
type users struct {
	t     *testing.T
	api   *API
	mux   *http.ServeMux
	store *emulator.KVStore
	types []jobs.MachineType
	room  bool
	count jobs.Counts
}

func withAPI(t *testing.T, scenario func(*users)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world, store := emulator.NewNetwork(), emulator.NewKVStore()
		world.Attach("state", "state:1", store)
		client := kvstore.New("state:1", world.Transport("node-0"), time.Second, kvstore.RateLimits{RequestsPerSecond: 1000, WritesPerSecond: 1000})
		cache := jobcache.New(client, jobcache.Options{ReadGap: 100 * time.Millisecond, IdleReadInterval: 10 * time.Second, SuspectFor: 30 * time.Second, CancellationsKept: 8})
		cache.Readiness.AssumeComplete()
		ctx, cancel := context.WithCancel(t.Context())
		var duties sync.WaitGroup
		duties.Go(func() { cache.Run(ctx) })
		u := &users{
			t: t, mux: http.NewServeMux(), store: store, room: true,
			types: []jobs.MachineType{{Name: "g8", CPUs: 64, RAMGB: 256, Zones: []string{"a", "b"}}},
		}
		set := &settings.Settings{}
		set.Deployment.Teams = []settings.Team{{Name: "vision"}}
		u.api = &API{
			Settings: set, Store: client, Cache: cache,
			Derived: settings.Derived{
				API:      settings.APILimits{QueueLength: 2, RequestTimeout: 2 * time.Second},
				Store:    settings.StoreBudget{RequestTimeout: time.Second, ValueBytes: 1 << 10},
				Election: settings.ElectionTiming{LeaseDuration: 9 * time.Second},
			},
			Catalog: func() []jobs.MachineType { return u.types },
			Counts:  func(string) (jobs.Counts, bool) { return u.count, true },
			Ready:   func() bool { return true },
			Room:    func() bool { return u.room },
		}
		u.api.Register(u.mux)
		scenario(u)
		cancel()
		duties.Wait()
		world.Wait()
	})
}

// want sends a request and checks the status and body of the response.
func (u *users) want(request, body string, status int, answer string) *httptest.ResponseRecorder {
	u.t.Helper()
	method, path, _ := strings.Cut(request, " ")
	recorder := httptest.NewRecorder()
	u.mux.ServeHTTP(recorder, httptest.NewRequestWithContext(u.t.Context(), method, path, strings.NewReader(body)))
	if recorder.Code != status || recorder.Body.String() != answer {
		u.t.Errorf("%s: %d %s, want %d %s", request, recorder.Code, recorder.Body, status, answer)
	}
	return recorder
}

func submission(id string, cpus int) string {
	return `{"id":"` + id + `","flock":"train","crew":"vision","shape":"batch","rank":"standard","talons":3,"vcpus":` + strconv.Itoa(cpus) +
		`,"gpus":0,"ramGb":1,"plumage":"img","imageGb":1,"perches":null,"eyrie":null,"samePlace":false,"scatter":false,` +
		`"driftwood":false,"flightS":10,"roostS":0,"stashS":0,"duskS":null}`
}

// A job is accepted once and cancelled once. Repeated requests return its state, and polls also
// return its task counts.
func TestLifeOfAJob(t *testing.T) {
	withAPI(t, func(u *users) {
		u.want("GET /v1/jobs/j-1", "", 404, `{"error":"no such job"}`)
		u.want("POST /v1/jobs/j-1/withdraw", "", 404, `{"error":"no such job"}`)
		u.want("POST /v1/jobs", submission("j-1", 4), 201, `{"id":"j-1","stance":"queued"}`)
		u.want("POST /v1/jobs", submission("j-1", 4), 200, `{"id":"j-1","stance":"queued"}`)
		u.want("GET /v1/jobs/j-1", "", 200, `{"id":"j-1","stance":"queued","done":0,"running":0}`)
		u.count = jobs.Counts{Done: 1, Running: 2}
		u.want("GET /v1/jobs/j-1", "", 200, `{"id":"j-1","stance":"running","done":1,"running":2}`)
		u.want("POST /v1/jobs", submission("j-1", 4), 200, `{"id":"j-1","stance":"running"}`)
		u.want("POST /v1/jobs/j-1/withdraw", "", 200, `{"id":"j-1","stance":"aborted"}`)
		u.want("POST /v1/jobs/j-1/withdraw", "", 200, `{"id":"j-1","stance":"aborted"}`)
		u.want("GET /v1/jobs/j-1", "", 200, `{"id":"j-1","stance":"aborted","done":0,"running":0}`)
		u.want("POST /v1/jobs", submission("j-1", 4), 200, `{"id":"j-1","stance":"aborted"}`)
	})
}

// A rejected submission gets the reason. Checks that apply only to new jobs must not reject a
// repeated submission of an accepted one.
func TestSubmissionsThatAreRefused(t *testing.T) {
	withAPI(t, func(u *users) {
		u.want("POST /v1/jobs", submission("j-1", 4), 201, `{"id":"j-1","stance":"queued"}`)
		u.want("POST /v1/jobs", submission("1", 4), 400, `{"error":"id must be of the form j-000412"}`)
		u.want("POST /v1/jobs", strings.Repeat(" ", maxBody+1), 400, `{"error":"body over 64 KiB"}`)
		u.want("POST /v1/jobs", strings.Replace(submission("j-2", 4), `"img"`, `"`+strings.Repeat("i", 1<<10)+`"`, 1), 400, `{"error":"job too large"}`)
		u.want("POST /v1/jobs", submission("j-2", 65), 422, `{"error":"a task fits no allowed machine type"}`)
		u.want("POST /v1/jobs", submission("j-1", 65), 200, `{"id":"j-1","stance":"queued"}`)
		u.room = false
		u.want("POST /v1/jobs", submission("j-2", 4), 503, `{"error":"memory is short at this node"}`)
		u.want("POST /v1/jobs", submission("j-1", 4), 200, `{"id":"j-1","stance":"queued"}`)
		u.types = nil
		u.want("POST /v1/jobs", submission("j-1", 4), 503, `{"error":"machine types are not known yet"}`)
		u.want("GET /v1/jobs/other", "", 404, `{"error":"no such job"}`)
	})
}

// During an outage of the key-value store, responses carry a Retry-After header.
func TestOutageOfTheStore(t *testing.T) {
	withAPI(t, func(u *users) {
		u.store.SetOutage(true)
		for _, request := range []string{"POST /v1/jobs", "GET /v1/jobs/j-1", "POST /v1/jobs/j-1/withdraw"} {
			got := u.want(request, submission("j-1", 4), 503, `{"error":"state service does not answer"}`)
			if after := got.Header().Get("Retry-After"); after != "5" {
				t.Errorf("%s: Retry-After %q, want half of the lease duration, rounded up", request, after)
			}
		}
		u.store.SetOutage(false)
		u.want("POST /v1/jobs", submission("j-1", 4), 201, `{"id":"j-1","stance":"queued"}`)
	})
}

// A request that finds no free slot is rejected at once.
func TestSlots(t *testing.T) {
	withAPI(t, func(u *users) {
		for range cap(u.api.slots) {
			u.api.slots <- struct{}{}
		}
		u.want("GET /v1/jobs/j-1", "", 503, `{"error":"too many requests at this node"}`)
		<-u.api.slots
		u.want("GET /v1/jobs/j-1", "", 404, `{"error":"no such job"}`)
		u.want("GET /up", "", 200, "")
	})
}

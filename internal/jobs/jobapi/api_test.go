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

// apiHarness holds the API of the only controller of a cluster, and its dependencies.
type apiHarness struct {
	t         *testing.T
	api       *API
	mux       *http.ServeMux
	store     *emulator.KVStore
	types     []jobs.MachineType
	hasMemory bool
	counts    jobs.TaskCounts
}

func withAPI(t *testing.T, scenario func(*apiHarness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network, store := emulator.NewNetwork(), emulator.NewKVStore()
		network.Attach("state", "state:1", store)
		client := kvstore.New("state:1", network.Transport("node-0"), time.Second, kvstore.RateLimits{RequestsPerSecond: 1000, WritesPerSecond: 1000})
		cache := jobcache.New(client, jobcache.Options{MinReadInterval: 100 * time.Millisecond, IdleReadInterval: 10 * time.Second, SuspectFor: 30 * time.Second, CancellationsKept: 8})
		cache.Readiness.AssumeComplete()
		ctx, cancel := context.WithCancel(t.Context())
		var background sync.WaitGroup
		background.Go(func() { cache.Run(ctx) })
		h := &apiHarness{
			t: t, mux: http.NewServeMux(), store: store, hasMemory: true,
			types: []jobs.MachineType{{Name: "g8", CPUs: 64, RAMGB: 256, Zones: []string{"a", "b"}}},
		}
		config := &settings.Settings{}
		config.Deployment.Teams = []settings.Team{{Name: "vision"}}
		h.api = &API{
			Settings: config, Store: client, Cache: cache,
			Derived: settings.Derived{
				API:      settings.APILimits{MaxConcurrentRequests: 2, RequestTimeout: 2 * time.Second},
				Store:    settings.StoreBudget{RequestTimeout: time.Second, ValueBytes: 1 << 10},
				Election: settings.ElectionTiming{LeaseDuration: 9 * time.Second},
			},
			Catalog:   func() []jobs.MachineType { return h.types },
			Counts:    func(string) (jobs.TaskCounts, bool) { return h.counts, true },
			Ready:     func() bool { return true },
			HasMemory: func() bool { return h.hasMemory },
		}
		h.api.Register(h.mux)
		scenario(h)
		cancel()
		background.Wait()
		network.Wait()
	})
}

// checkResponse sends a request and checks the status and body of the response.
func (h *apiHarness) checkResponse(request, body string, wantStatus int, wantBody string) *httptest.ResponseRecorder {
	h.t.Helper()
	method, path, _ := strings.Cut(request, " ")
	recorder := httptest.NewRecorder()
	h.mux.ServeHTTP(recorder, httptest.NewRequestWithContext(h.t.Context(), method, path, strings.NewReader(body)))
	if recorder.Code != wantStatus || recorder.Body.String() != wantBody {
		h.t.Errorf("%s: %d %s, want %d %s", request, recorder.Code, recorder.Body, wantStatus, wantBody)
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
func TestJobLifecycle(t *testing.T) {
	withAPI(t, func(h *apiHarness) {
		h.checkResponse("GET /v1/jobs/j-1", "", 404, `{"error":"no such job"}`)
		h.checkResponse("POST /v1/jobs/j-1/withdraw", "", 404, `{"error":"no such job"}`)
		h.checkResponse("POST /v1/jobs", submission("j-1", 4), 201, `{"id":"j-1","stance":"queued"}`)
		h.checkResponse("POST /v1/jobs", submission("j-1", 4), 200, `{"id":"j-1","stance":"queued"}`)
		h.checkResponse("GET /v1/jobs/j-1", "", 200, `{"id":"j-1","stance":"queued","done":0,"running":0}`)
		h.counts = jobs.TaskCounts{Done: 1, Running: 2}
		h.checkResponse("GET /v1/jobs/j-1", "", 200, `{"id":"j-1","stance":"running","done":1,"running":2}`)
		h.checkResponse("POST /v1/jobs", submission("j-1", 4), 200, `{"id":"j-1","stance":"running"}`)
		h.checkResponse("POST /v1/jobs/j-1/withdraw", "", 200, `{"id":"j-1","stance":"aborted"}`)
		h.checkResponse("POST /v1/jobs/j-1/withdraw", "", 200, `{"id":"j-1","stance":"aborted"}`)
		h.checkResponse("GET /v1/jobs/j-1", "", 200, `{"id":"j-1","stance":"aborted","done":0,"running":0}`)
		h.checkResponse("POST /v1/jobs", submission("j-1", 4), 200, `{"id":"j-1","stance":"aborted"}`)
	})
}

// A rejected submission gets the reason. Checks that apply only to new jobs must not reject a
// repeated submission of an accepted one.
func TestRejectedSubmissions(t *testing.T) {
	withAPI(t, func(h *apiHarness) {
		h.checkResponse("POST /v1/jobs", submission("j-1", 4), 201, `{"id":"j-1","stance":"queued"}`)
		h.checkResponse("POST /v1/jobs", submission("1", 4), 400, `{"error":"id must be of the form j-000412"}`)
		h.checkResponse("POST /v1/jobs", strings.Repeat(" ", maxBodyBytes+1), 400, `{"error":"body over 64 KiB"}`)
		h.checkResponse("POST /v1/jobs", strings.Replace(submission("j-2", 4), `"img"`, `"`+strings.Repeat("i", 1<<10)+`"`, 1), 400, `{"error":"job too large"}`)
		h.checkResponse("POST /v1/jobs", submission("j-2", 65), 422, `{"error":"a task fits no allowed machine type"}`)
		h.checkResponse("POST /v1/jobs", submission("j-1", 65), 200, `{"id":"j-1","stance":"queued"}`)
		h.hasMemory = false
		h.checkResponse("POST /v1/jobs", submission("j-2", 4), 503, `{"error":"memory is short at this node"}`)
		h.checkResponse("POST /v1/jobs", submission("j-1", 4), 200, `{"id":"j-1","stance":"queued"}`)
		h.types = nil
		h.checkResponse("POST /v1/jobs", submission("j-2", 4), 503, `{"error":"machine types are not known yet"}`)
		h.checkResponse("POST /v1/jobs", submission("j-1", 4), 200, `{"id":"j-1","stance":"queued"}`)
		h.checkResponse("GET /v1/jobs/other", "", 404, `{"error":"no such job"}`)
	})
}

// TestRepeatedSubmissions guards against an accepted job whose repeated submission is rejected, because a new job like
// it would be: the catalog, the settings, the store's limits or this controller's state have changed since.
func TestRepeatedSubmissions(t *testing.T) {
	for name, change := range map[string]func(*apiHarness){
		"lower limit of values":     func(h *apiHarness) { h.api.Derived.Store.ValueBytes = 100 },
		"team no longer configured": func(h *apiHarness) { h.api.Settings.Deployment.Teams = nil },
		"lower limit of the team":   func(h *apiHarness) { h.api.Settings.Deployment.Teams[0].MaxCPUs = 1 },
		"machine type out of use": func(h *apiHarness) {
			h.types = []jobs.MachineType{{Name: "s1", CPUs: 1, RAMGB: 1, Zones: []string{"a"}}}
		},
		"machine types not known": func(h *apiHarness) { h.types = nil },
		"memory short":            func(h *apiHarness) { h.hasMemory = false },
		"all of these":            func(h *apiHarness) { h.types, h.hasMemory, h.api.Derived.Store.ValueBytes = nil, false, 100 },
	} {
		t.Run(name, func(t *testing.T) {
			withAPI(t, func(h *apiHarness) {
				for _, id := range []string{"j-1", "j-2", "j-3"} {
					h.checkResponse("POST /v1/jobs", submission(id, 4), 201, `{"id":"`+id+`","stance":"queued"}`)
				}
				h.checkResponse("POST /v1/jobs/j-2/withdraw", "", 200, `{"id":"j-2","stance":"aborted"}`)
				h.store.Put("job/j-3", []byte(`{"stance":"done","tasks":3}`))
				change(h)
				h.checkResponse("POST /v1/jobs", submission("j-1", 4), 200, `{"id":"j-1","stance":"queued"}`)
				h.checkResponse("POST /v1/jobs", submission("j-2", 4), 200, `{"id":"j-2","stance":"aborted"}`)
				h.checkResponse("POST /v1/jobs", submission("j-3", 4), 200, `{"id":"j-3","stance":"done"}`)
				recorder := httptest.NewRecorder()
				h.mux.ServeHTTP(recorder, httptest.NewRequestWithContext(h.t.Context(), http.MethodPost, "/v1/jobs", strings.NewReader(submission("j-4", 4))))
				if recorder.Code < 400 {
					t.Errorf("a new job is answered %d %s", recorder.Code, recorder.Body)
				}
			})
		})
	}
}

// During an outage of the key-value store, responses carry a Retry-After header.
func TestStoreOutage(t *testing.T) {
	withAPI(t, func(h *apiHarness) {
		h.store.SetOutage(true)
		for _, request := range []string{"POST /v1/jobs", "GET /v1/jobs/j-1", "POST /v1/jobs/j-1/withdraw"} {
			recorder := h.checkResponse(request, submission("j-1", 4), 503, `{"error":"state service does not answer"}`)
			if after := recorder.Header().Get("Retry-After"); after != "5" {
				t.Errorf("%s: Retry-After %q, want half of the lease duration, rounded up", request, after)
			}
		}
		h.store.SetOutage(false)
		h.checkResponse("POST /v1/jobs", submission("j-1", 4), 201, `{"id":"j-1","stance":"queued"}`)
	})
}

// A request that finds no free slot is rejected at once.
func TestRequestsBeyondSlotsAreRejected(t *testing.T) {
	withAPI(t, func(h *apiHarness) {
		for range cap(h.api.slots) {
			h.api.slots <- struct{}{}
		}
		h.checkResponse("GET /v1/jobs/j-1", "", 503, `{"error":"too many requests at this node"}`)
		<-h.api.slots
		h.checkResponse("GET /v1/jobs/j-1", "", 404, `{"error":"no such job"}`)
		h.checkResponse("GET /up", "", 200, "")
	})
}

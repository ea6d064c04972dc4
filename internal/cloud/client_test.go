package cloud

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/autoscaler"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/wirejson/wirejsontest"
)

// newTestClient returns a client of a test server that runs handler.
func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return NewClient(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport, 10*time.Second, 1000)
}

func TestProvision(t *testing.T) {
	pool := autoscaler.MachinePool{Type: "small", Zone: "a", Spot: true}
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if d := cmp.Diff(`{"charter":"r-1","perchKind":"small","eyrie":"a","driftwood":true,"number":2}`, string(body)); d != "" {
			t.Errorf("request (-want +got):\n%s", d)
		}
		_, _ = io.WriteString(w, `{"hosts":["m-1","m-2"]}`)
	})
	got, err := client.Provision(t.Context(), ProvisionRequest{Name: "r-1", MachinePool: pool, Count: 2})
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff([]string{"m-1", "m-2"}, got); d != "" {
		t.Errorf("(-want +got):\n%s", d)
	}
}

// Only a response that reports no capacity makes the outcome of a request known, so no other error
// may be taken for it.
func TestProvisionErrors(t *testing.T) {
	for _, tc := range []struct {
		name       string
		status     int
		body       string
		noCapacity bool
		message    string
	}{
		{"no capacity", http.StatusServiceUnavailable, `{"error":"no capacity"}`, true, ""},
		{"unavailable", http.StatusServiceUnavailable, `{"error":"down"}`, false, "cloud: status 503 down"},
		{"no capacity with another status", http.StatusBadRequest, `{"error":"no capacity"}`, false, "cloud: status 400 no capacity"},
		{"not JSON", http.StatusBadGateway, "bad gateway", false, "cloud: status 502 "},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tc.status)
				_, _ = io.WriteString(w, tc.body)
			})
			_, err := client.Provision(t.Context(), ProvisionRequest{Name: "r-1", Count: 1})
			if got := errors.Is(err, ErrNoCapacity); got != tc.noCapacity {
				t.Errorf("error is ErrNoCapacity: %v, want %v", got, tc.noCapacity)
			}
			if tc.noCapacity {
				return
			}
			var status *StatusError
			if !errors.As(err, &status) || status.Code != tc.status || err.Error() != tc.message {
				t.Errorf("error %v, want %q", err, tc.message)
			}
		})
	}
}

func TestListMachinesReadsAllPages(t *testing.T) {
	pages := map[string]string{
		"":    `{"hosts":[{"id":"m-1","addr":"h:1","perchKind":"small","eyrie":"a","driftwood":true,"stance":"running","ageS":3}],"hasNext":true}`,
		"m-1": `{"hosts":[{"id":"m-2","stance":"failed"}],"hasNext":false}`,
	}
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, pages[r.URL.Query().Get("after")])
	})
	got, count, err := client.ListMachines(t.Context())
	if err != nil || count != 2 {
		t.Fatalf("%d pages: %v", count, err)
	}
	want := []ListedMachine{
		{ID: "m-1", Addr: "h:1", Type: "small", Zone: "a", Spot: true, State: StateRunning, AgeS: 3},
		{ID: "m-2", State: StateFailed},
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("(-want +got):\n%s", d)
	}
}

func TestReleaseRequestBody(t *testing.T) {
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		var body map[string][]string
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			t.Error(err)
		}
		if d := cmp.Diff(map[string][]string{"hosts": {"m-1", "m-2"}}, body); d != "" {
			t.Errorf("request (-want +got):\n%s", d)
		}
	})
	if err := client.Release(t.Context(), []string{"m-1", "m-2"}); err != nil {
		t.Error(err)
	}
}

func TestCatalogRejectsEmptyResponse(t *testing.T) {
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"perches":[]}`) })
	if _, err := client.Catalog(t.Context()); err == nil {
		t.Error("empty catalog returned no error")
	}
}

// TestUnknownFieldsOfCloud guards against responses of the cloud in which an unknown field takes the place of a
// known one: machines could be taken for others, or an outage for a lack of machines.
func TestUnknownFieldsOfCloud(t *testing.T) {
	answers := map[string]string{
		"/catalog": `{"perches":[{"label":"g8","vcpus":96,"gpus":8,"ramGb":768,"localGb":200,"fetchGbPerS":1,"rate":12,"lowPrice":4.5,"startupS":45,"eyries":["a"]}]}`,
		"/rentals": `{"hosts":[{"id":"m-1","addr":"h:1","perchKind":"g8","eyrie":"a","driftwood":true,"stance":"running","ageS":3}],"hasNext":false}`,
	}
	read := func(rewrite func([]byte) []byte) (types []jobs.MachineType, machines []ListedMachine, rejection string) {
		client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = w.Write(rewrite([]byte(`{"error":"trouble"}`)))
				return
			}
			_, _ = w.Write(rewrite([]byte(answers[r.URL.Path])))
		})
		types, err := client.Catalog(t.Context())
		if err != nil {
			t.Error(err)
		}
		machines, _, err = client.ListMachines(t.Context())
		if err != nil {
			t.Error(err)
		}
		_, err = client.Provision(t.Context(), ProvisionRequest{Name: "r-1", Count: 1})
		return types, machines, err.Error()
	}
	wantTypes, wantMachines, wantRejection := read(func(body []byte) []byte { return body })
	types, machines, rejection := read(func(body []byte) []byte { return wirejsontest.AddUnknownFields(body) })
	if d := cmp.Diff(wantTypes, types); d != "" {
		t.Errorf("catalog (-without +with unknown fields):\n%s", d)
	}
	if d := cmp.Diff(wantMachines, machines); d != "" {
		t.Errorf("machines (-without +with unknown fields):\n%s", d)
	}
	if rejection != wantRejection {
		t.Errorf("rejection %q, without unknown fields %q", rejection, wantRejection)
	}
	noCapacityElsewhere := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"error":"trouble","Error":"no capacity"}`)
	})
	if _, err := noCapacityElsewhere.Provision(t.Context(), ProvisionRequest{Name: "r-1", Count: 1}); errors.Is(err, ErrNoCapacity) {
		t.Error("an outage is taken for a lack of machines")
	}
}

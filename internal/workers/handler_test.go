package workers

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/wirejson/wirejsontest"
)

const fourTaskHeartbeat = `{"host":"m-000231","addr":"10.1.0.232:9000","perchKind":"g8","eyrie":"a","driftwood":true,
 "soar":1,"beat":88,"crest":41,"warningS":null,"colour":"of no meaning",
 "talons":[{"talon":"j-000412/3","dive":2,"stance":"running"},{"talon":"j-000412/4","dive":2,"stance":"running"},
 {"talon":"j-000412/5","dive":2,"stance":"saving"},{"talon":"j-000398/0","dive":1,"stance":"ended","cause":"stopped","stored":true}]}`

func serve(h *Handler, body string) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	h.Register(mux)
	rec := httptest.NewRecorder()
	mux.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/v1/report", strings.NewReader(body)))
	return rec
}

// A heartbeat is decoded completely, whatever unknown fields it has, and each response has exactly
// the protocol's form.
func TestHandlerRequestAndResponse(t *testing.T) {
	var got *Heartbeat
	grace := 0.0
	handler := &Handler{
		HandleHeartbeat: func(_ context.Context, r *Heartbeat) *HeartbeatResponse {
			got = r
			return &HeartbeatResponse{FencingToken: 41, Commands: []Command{
				{Op: OpRun, Task: "j-000412/4", Attempt: 2}, {Op: OpStop, Task: "j-000377/1", Attempt: 1, GraceS: &grace},
			}}
		},
		Leader: func() string { return "" },
	}
	rec := serve(handler, fourTaskHeartbeat)
	want := `{"crest":41,"calls":[{"call":"run","talon":"j-000412/4","dive":2},{"call":"stop","talon":"j-000377/1","dive":1,"glideS":0}]}`
	if rec.Code != http.StatusOK || rec.Body.String() != want {
		t.Errorf("%d %s, want %s", rec.Code, rec.Body, want)
	}
	if got.Machine != "m-000231" || got.SpotNoticeS != nil || len(got.Tasks) != 4 || got.Tasks[3] != (TaskStatus{"j-000398/0", 1, StateEnded, CauseStopped, true}) {
		t.Errorf("decoded heartbeat %+v", got)
	}
	handler.HandleHeartbeat = func(context.Context, *Heartbeat) *HeartbeatResponse { return nil }
	if rec := serve(handler, fourTaskHeartbeat); rec.Code != http.StatusServiceUnavailable {
		t.Errorf("no known leader: status %d", rec.Code)
	}
	handler.Leader = func() string { return "perch-2" }
	if rec := serve(handler, fourTaskHeartbeat); rec.Code != http.StatusMisdirectedRequest || rec.Body.String() != `{"nest":"perch-2"}` {
		t.Errorf("another controller leads: status %d, body %s", rec.Code, rec.Body)
	}
	for name, body := range map[string]string{
		"no machine name": `{"soar":1}`, "truncated": fourTaskHeartbeat[:300], "nothing": "", "not an object": "[1]", "oversized": `{"host":"` + strings.Repeat("m", maxHeartbeatBytes) + `"}`,
	} {
		if rec := serve(handler, body); rec.Code != http.StatusBadRequest {
			t.Errorf("%s: status %d", name, rec.Code)
		}
	}
}

// TestUnknownFieldsOfHeartbeat guards against heartbeats that are rejected, or read wrongly, for unknown fields:
// a worker whose heartbeats are rejected loses its lease and all its tasks.
func TestUnknownFieldsOfHeartbeat(t *testing.T) {
	var got []*Heartbeat
	handler := &Handler{HandleHeartbeat: func(_ context.Context, heartbeat *Heartbeat) *HeartbeatResponse {
		got = append(got, heartbeat)
		return &HeartbeatResponse{FencingToken: 41}
	}}
	withUnknown := string(wirejsontest.AddUnknownFields([]byte(fourTaskHeartbeat)))
	invalidUTF8 := strings.Replace(fourTaskHeartbeat, "of no meaning", "\xff", 1)
	for _, body := range []string{fourTaskHeartbeat, withUnknown, invalidUTF8} {
		if rec := serve(handler, body); rec.Code != http.StatusOK {
			t.Errorf("%s: status %d", body, rec.Code)
		}
	}
	for _, heartbeat := range got[1:] {
		heartbeat.Bytes = got[0].Bytes // the only difference that is due
		if d := cmp.Diff(got[0], heartbeat); d != "" {
			t.Errorf("(-without +with unknown fields):\n%s", d)
		}
	}
}

// Guards against extra allocations per heartbeat, thousands of which arrive within ten seconds.
// Beyond those of net/http, a heartbeat of four tasks needs one allocation for each name, the task
// list and the response. The first version of encoding/json needed 17 more.
func TestAllocationsPerHeartbeat(t *testing.T) {
	handler := &Handler{HandleHeartbeat: func(context.Context, *Heartbeat) *HeartbeatResponse {
		return &HeartbeatResponse{FencingToken: 41, Commands: []Command{}}
	}}
	mux := http.NewServeMux()
	handler.Register(mux)
	const runs = 200
	var reqs []*http.Request
	var recs []*httptest.ResponseRecorder
	for range runs + 1 {
		reqs = append(reqs, httptest.NewRequest(http.MethodPost, "/v1/report", strings.NewReader(fourTaskHeartbeat)))
		recs = append(recs, httptest.NewRecorder())
	}
	i := 0
	n := testing.AllocsPerRun(runs, func() {
		mux.ServeHTTP(recs[i], reqs[i])
		i++
	})
	if n > 22 {
		t.Errorf("%v allocations per heartbeat, want at most 22", n)
	}
	t.Logf("%v allocations per heartbeat", n)
}

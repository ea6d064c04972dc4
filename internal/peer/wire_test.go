package peer

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/recovery/detection"
)

// During an upgrade, controllers of the previous version run alongside this one, and send and read
// exactly these bytes.
func TestEncodingMatchesProduction(t *testing.T) {
	raw, err := os.ReadFile("testdata/production.txt")
	if err != nil {
		t.Fatal(err)
	}
	update := LeaderUpdate{StoreAvailable: true, JobCounts: map[string]jobs.TaskCounts{"j-000412": {Done: 3, Running: 13}}}
	encoded := map[string][]byte{
		"progress": encodeLeaderUpdate("perch-0", update), "ask": encodeLeaseGrantRequest("perch-1", leaseGrantRequest{7, LeaseGrantRequest{41, 0}}), "promise": encodeLeaseGrantResponse("perch-2", leaseGrantResponse{7, LeaseGrantResponse{Granted: true}}),
	}
	for line := range strings.Lines(string(raw)) {
		kind, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		if got := hex.EncodeToString(encoded[kind]); got != digits {
			t.Errorf("%s is encoded as\n%s, production encodes it as\n%s", kind, got, digits)
		}
	}
}

func TestMessageRoundTrip(t *testing.T) {
	update := LeaderUpdate{StoreAvailable: true, JobCounts: map[string]jobs.TaskCounts{"j-1": {Done: 3, Running: 2}, "j-2": {Running: 1}}}
	update.RestoringRecords = true
	update.Changes = []JobChange{{ID: "j-3", State: jobs.Queued, Tasks: 4}, {ID: "j-000004", State: jobs.Cancelled, Tasks: 1}}
	grantResponse := LeaseGrantResponse{Granted: true, CancellationsComplete: true, Cancellations: []jobs.Cancellation{{Job: "j-1", Revision: 431}, {Job: "j-000002", Revision: 1 << 40}}}
	for _, tc := range []struct {
		name string
		raw  []byte
		want message
	}{
		{"leader update", encodeLeaderUpdate("perch-0", update), message{from: "perch-0", leaderUpdate: &update}},
		{"lease grant request", encodeLeaseGrantRequest("perch-1", leaseGrantRequest{7, LeaseGrantRequest{41, 430}}), message{from: "perch-1", leaseGrantRequest: &leaseGrantRequest{7, LeaseGrantRequest{41, 430}}}},
		{"lease grant response", encodeLeaseGrantResponse("perch-2", leaseGrantResponse{7, grantResponse}), message{from: "perch-2", leaseGrantResponse: &leaseGrantResponse{7, grantResponse}}},
		{"lease grant response of production", encodeLeaseGrantResponse("perch-2", leaseGrantResponse{7, LeaseGrantResponse{Granted: true}}), message{from: "perch-2", leaseGrantResponse: &leaseGrantResponse{7, LeaseGrantResponse{Granted: true}}}},
		{"lease grant response with too many cancellations", encodeLeaseGrantResponse("perch-2", leaseGrantResponse{7, LeaseGrantResponse{true, true, make([]jobs.Cancellation, maxCancellations+1)}}), message{from: "perch-2", leaseGrantResponse: &leaseGrantResponse{7, LeaseGrantResponse{Granted: true}}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			body := tc.raw[4:] // skip the size prefix
			got, err := decode(body)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, got, cmp.AllowUnexported(message{}, leaseGrantRequest{}, leaseGrantResponse{})); diff != "" {
				t.Error(diff)
			}
			// A truncated or corrupt message must decode to an error or to some
			// message, and never panic.
			for n := range body {
				_, _ = decode(body[:n])
				corrupt := append([]byte(nil), body...)
				corrupt[n] ^= 0xff
				_, _ = decode(corrupt)
			}
		})
	}
	if _, err := decode(nil); err == nil {
		t.Error("empty message decoded without an error")
	}
}

// Requests and responses for lost jobs, and loss notices, decode to what was encoded. Truncated or
// corrupt ones must not panic.
func TestLostJobsMessageRoundTrip(t *testing.T) {
	response := lostJobsResponse{9, LostJobsResponse{Compared: true, More: true, KnownJobs: 7, LossNoticed: true, NewestRevision: 500, ReliesOnNoGrant: true, Jobs: []LostJob{
		{ID: "j-1", State: "done", Tasks: 4}, {ID: "j-2", State: "queued", Tasks: 1, Record: []byte(`{"stance":"queued"}`)},
	}}}
	for name, c := range map[string]struct {
		raw  []byte
		want message
	}{
		"request":  {encodeLostJobsRequest("perch-0", lostJobsRequest{9, LostJobsRequest{41, "j-1"}}), message{from: "perch-0", lostJobsRequest: &lostJobsRequest{9, LostJobsRequest{41, "j-1"}}}},
		"notice":   {encodeLossNotice("perch-1", detection.Evidence{Kind: detection.RecordMissing, Key: "job/j-1"}), message{from: "perch-1", lossNotice: &detection.Evidence{Kind: detection.RecordMissing, Key: "job/j-1"}}},
		"response": {encodeLostJobsResponse("perch-1", response), message{from: "perch-1", lostJobsResponse: &response}},
	} {
		body := c.raw[4:]
		got, err := decode(body)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		opts := []cmp.Option{cmp.AllowUnexported(message{}, lostJobsRequest{}, lostJobsResponse{}), cmp.Comparer(bytes.Equal)}
		if diff := cmp.Diff(c.want, got, opts...); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		for n := range body {
			_, _ = decode(body[:n])
			corrupt := append([]byte(nil), body...)
			corrupt[n] ^= 0xff
			_, _ = decode(corrupt)
		}
	}
}

// A response stays within the limit of a message, however large the records are. The remaining jobs
// come with the next response.
func TestLostJobsResponseSizeLimit(t *testing.T) {
	response := lostJobsResponse{1, LostJobsResponse{Compared: true}}
	for i := range 100 {
		response.Jobs = append(response.Jobs, LostJob{ID: fmt.Sprintf("j-%03d", i), Record: make([]byte, 30<<10)})
	}
	raw := encodeLostJobsResponse("perch-0", response)
	decoded, err := decode(raw[4:])
	if err != nil || len(raw) > maxMessageBytes {
		t.Fatalf("%d bytes, %v", len(raw), err)
	}
	if got := decoded.lostJobsResponse; !got.More || len(got.Jobs) == 0 || len(got.Jobs) == 100 || got.Jobs[0].ID != "j-000" {
		t.Errorf("%d jobs, more %v", len(got.Jobs), got.More)
	}
}

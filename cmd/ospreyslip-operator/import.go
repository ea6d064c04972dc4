package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/recoverer"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/snapshot"
	"ospreyslip/internal/wirejson"
)

// importPageBytes is the size of the records in a page at which the page is sent.
const importPageBytes = 256 << 10

// importer sends the jobs of a snapshot to the leader page by page.
type importer struct {
	client *leaderClient
	page   recoverer.ImportRequest
	bytes  int                    // size of the jobs in page
	total  recoverer.ImportResult // sum of the leader's results for the pages sent
}

// importFile sends the jobs of a snapshot to the leader, page by page, and prints the result. It
// can be repeated: the leader ignores what it already knows.
func importFile(ctx context.Context, out io.Writer, cfg *settings.Settings, client *leaderClient, path string) error {
	contents, err := snapshot.ReadFile(path)
	if err != nil {
		return err
	}
	manifest := contents.Manifest
	if own := cfg.ClusterID(); manifest.Cluster != own {
		return fmt.Errorf("snapshot %s belongs to deployment %s, not to %s", path, manifest.Cluster, own)
	}
	sender := importer{client: client, page: recoverer.ImportRequest{Cluster: manifest.Cluster, Revision: manifest.Revision}}
	for _, record := range contents.Records {
		if err := sender.add(ctx, record); err != nil {
			return err
		}
	}
	if err := sender.flush(ctx); err != nil {
		return err
	}
	total := sender.total
	fmt.Fprintf(out, "compared with the records: %d the same or older, %d missing, %d ended, %d descriptions of held jobs, %d contradicting, %d not readable\n",
		total.Same, total.Missing, total.Ended, total.Described, total.Contradicting, total.Invalid)
	return nil
}

// add adds a job's record to the page and sends the page when it is full. It ignores other records
// and values that are not valid JSON.
func (s *importer) add(ctx context.Context, record snapshot.Record) error {
	if !strings.HasPrefix(record.Key, jobs.RecordPrefix) || !wirejson.Valid(record.Value) {
		return nil
	}
	s.page.Jobs = append(s.page.Jobs, recoverer.SnapshotRecord{ID: jobs.JobIDFromKey(record.Key), Record: record.Value})
	s.bytes += len(record.Key) + len(record.Value)
	if s.bytes < importPageBytes {
		return nil
	}
	return s.flush(ctx)
}

// flush sends the page, even if it is empty, and starts a new one.
func (s *importer) flush(ctx context.Context) error {
	var found recoverer.ImportResult
	if err := s.client.do(ctx, http.MethodPost, "/recovery/import", s.page, &found); err != nil {
		return err
	}
	s.total.Add(found)
	s.page.Jobs, s.bytes = nil, 0
	return nil
}

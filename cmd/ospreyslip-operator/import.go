package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/recoverer"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/snapshot"
)

// importPageBytes bounds what is sent to the leader at a time.
const importPageBytes = 256 << 10

// importer sends the jobs of a snapshot to the leader in pages.
type importer struct {
	client *leaderClient
	page   recoverer.Import
	bytes  int                // of the jobs in page
	total  recoverer.Imported // what the leader found in all pages sent
}

// importFile hands the jobs of a snapshot to the leader, page by page. It can be repeated:
// what is known by then is passed over.
func importFile(ctx context.Context, out io.Writer, set *settings.Settings, client *leaderClient, path string) error {
	contents, err := snapshot.ReadFile(path)
	if err != nil {
		return err
	}
	manifest := contents.Manifest
	if own := set.ClusterID(); manifest.Cluster != own {
		return fmt.Errorf("snapshot %s is of deployment %s, this is %s", path, manifest.Cluster, own)
	}
	sender := importer{client: client, page: recoverer.Import{Cluster: manifest.Cluster, Revision: manifest.Revision}}
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

// add puts a job's record on the page, and sends that when it is full. Other records are
// passed over.
func (s *importer) add(ctx context.Context, record snapshot.Record) error {
	if !strings.HasPrefix(record.Key, jobs.RecordPrefix) || !json.Valid(record.Value) {
		return nil
	}
	s.page.Jobs = append(s.page.Jobs, recoverer.SnapshotFact{ID: jobs.JobIDFromKey(record.Key), Record: record.Value})
	s.bytes += len(record.Key) + len(record.Value)
	if s.bytes < importPageBytes {
		return nil
	}
	return s.flush(ctx)
}

// flush sends the page, be it empty.
func (s *importer) flush(ctx context.Context) error {
	var found recoverer.Imported
	if err := s.client.do(ctx, http.MethodPost, "/recovery/import", s.page, &found); err != nil {
		return err
	}
	s.total.Add(found)
	s.page.Jobs, s.bytes = nil, 0
	return nil
}

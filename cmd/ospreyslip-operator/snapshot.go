package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/logging"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/snapshot"
)

// snapshotShare is the part of the state service's requests that a snapshot may take.
const snapshotShare = 0.05

// leastSnapshotWait is how long one request may take, its turn in the budget among it.
const leastSnapshotWait = 10 * time.Second

type snapshotOptions struct {
	out   string
	every time.Duration
	keep  int
}

func (o snapshotOptions) check() error {
	info, err := os.Stat(o.out)
	switch {
	case o.out == "":
		return errors.New("--out DIR is missing")
	case err != nil:
		return err
	case !info.IsDir():
		return fmt.Errorf("--out: %s is not a folder", o.out)
	case o.every < 0:
		return errors.New("--every must not be negative")
	case o.keep < 0:
		return errors.New("--keep must not be negative")
	}
	return nil
}

func snapshotCommand(load func() (*settings.Settings, error)) *cobra.Command {
	var o snapshotOptions
	cmd := &cobra.Command{
		Use:   "snapshot",
		Short: "Copy all records of the state service into a file",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := logging.ToStderr(os.Getenv("LOG_LEVEL")); err != nil {
				return err
			}
			set, err := load()
			if err != nil {
				return err
			}
			if err := o.check(); err != nil {
				return err
			}
			return takeSnapshots(cmd.Context(), set, o, cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&o.out, "out", "", "folder to write to")
	cmd.Flags().DurationVar(&o.every, "every", 0, "go on, with one in each such time; default: one only")
	cmd.Flags().IntVar(&o.keep, "keep", 0, "remove this deployment's oldest but for so many; 0: keep all")
	cmd.AddCommand(verifyCommand(), showCommand())
	return cmd
}

// takeSnapshots takes one, or one in each period until the context ends. In the latter
// case one that fails is reported, and the next tried.
func takeSnapshots(ctx context.Context, set *settings.Settings, o snapshotOptions, out io.Writer) error {
	for {
		path, err := takeSnapshot(ctx, set, o)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil && o.every == 0:
			return err
		case err != nil:
			slog.Error("snapshot not taken", "reason", err)
		default:
			fmt.Fprintln(out, path)
		}
		if o.every == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(o.every):
		}
	}
}

func takeSnapshot(ctx context.Context, set *settings.Settings, o snapshotOptions) (string, error) {
	began := time.Now()
	requests := snapshotShare * set.Deployment.Store.Effective().RPS
	wait := max(leastSnapshotWait, time.Duration(4/requests*float64(time.Second)))
	client := kvstore.New(set.Endpoints.Store, &http.Transport{}, wait, kvstore.Budget{Requests: requests})
	s, err := snapshot.Take(ctx, client, set.ClusterID(), began)
	if err != nil {
		return "", err
	}
	path, err := snapshot.WriteFile(o.out, s)
	if err != nil {
		return "", err
	}
	slog.Info("snapshot taken", "path", path, "revision", s.Manifest.Revision, "records", s.Manifest.Records, "took", time.Since(began).Round(time.Millisecond).String())
	if o.keep > 0 {
		removed, err := snapshot.Prune(o.out, set.ClusterID(), o.keep)
		if err != nil {
			return "", err
		}
		if len(removed) > 0 {
			slog.Info("old snapshots removed", "files", removed)
		}
	}
	return path, nil
}

func verifyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "verify FILE",
		Short: "Check that a snapshot is whole",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := snapshot.ReadFile(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "whole: %d records of deployment %s as of revision %d\n", s.Manifest.Records, s.Manifest.Cluster, s.Manifest.Revision)
			return nil
		},
	}
}

func showCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "show FILE [JOB]",
		Short: "Show what a snapshot holds, or one job's record in it",
		Args:  cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := snapshot.ReadFile(args[0])
			if err != nil {
				return err
			}
			if len(args) == 2 {
				return showRecord(cmd.OutOrStdout(), s, "job/"+args[1])
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(s.Manifest)
			}
			return showManifest(cmd.OutOrStdout(), s.Manifest)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the manifest as JSON")
	return cmd
}

func showRecord(out io.Writer, s *snapshot.Snapshot, key string) error {
	for _, r := range s.Records {
		if r.Key == key {
			fmt.Fprintf(out, "%s, revision %d\n%s\n", r.Key, r.Revision, r.Value)
			return nil
		}
	}
	return fmt.Errorf("%s is not in the snapshot", key)
}

func showManifest(out io.Writer, m snapshot.Manifest) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "deployment\t%s\ntaken\t%s\nrevision\t%d\ntoken\t%d\nrecords\t%d\n",
		m.Cluster, time.UnixMilli(m.TakenMs).UTC().Format(time.DateTime), m.Revision, m.Token, m.Records)
	for _, s := range slices.Sorted(maps.Keys(m.Jobs)) {
		fmt.Fprintf(w, "jobs %s\t%d\n", s, m.Jobs[s])
	}
	return w.Flush()
}

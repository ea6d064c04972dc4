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

// snapshotRequestShare is the share of the state service's request rate that a snapshot may use.
const snapshotRequestShare = 0.05

// minRequestTimeout is the minimum timeout of a request, including the wait for the rate limiter.
const minRequestTimeout = 10 * time.Second

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
		return fmt.Errorf("--out: %s is not a directory", o.out)
	case o.every < 0:
		return errors.New("--every must not be negative")
	case o.keep < 0:
		return errors.New("--keep must not be negative")
	}
	return nil
}

func snapshotCommand(load func() (*settings.Settings, error)) *cobra.Command {
	var options snapshotOptions
	cmd := &cobra.Command{
		Use:   "snapshot",
		Short: "Copy all records of the state service into a file",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := logging.ToStderr(os.Getenv("LOG_LEVEL")); err != nil {
				return err
			}
			cfg, err := load()
			if err != nil {
				return err
			}
			if err := options.check(); err != nil {
				return err
			}
			return takeSnapshots(cmd.Context(), cfg, options, cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&options.out, "out", "", "folder to write to")
	cmd.Flags().DurationVar(&options.every, "every", 0, "go on, with one in each such time; default: one only")
	cmd.Flags().IntVar(&options.keep, "keep", 0, "remove this deployment's oldest but for so many; 0: keep all")
	cmd.AddCommand(verifyCommand(), showCommand())
	return cmd
}

// takeSnapshots takes one snapshot, or, if a period is set, one per period until the context ends.
// With a period, it logs failures and continues.
func takeSnapshots(ctx context.Context, cfg *settings.Settings, options snapshotOptions, out io.Writer) error {
	for {
		path, err := takeSnapshot(ctx, cfg, options)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil && options.every == 0:
			return err
		case err != nil:
			slog.Error("failed to take snapshot", "reason", err)
		default:
			fmt.Fprintln(out, path)
		}
		if options.every == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(options.every):
		}
	}
}

func takeSnapshot(ctx context.Context, cfg *settings.Settings, options snapshotOptions) (string, error) {
	startedAt := time.Now()
	requestsPerSecond := snapshotRequestShare * cfg.Deployment.Store.Effective().RPS
	timeout := max(minRequestTimeout, time.Duration(4/requestsPerSecond*float64(time.Second)))
	client := kvstore.New(cfg.Endpoints.Store, &http.Transport{}, timeout, kvstore.RateLimits{RequestsPerSecond: requestsPerSecond})
	taken, err := snapshot.Take(ctx, client, cfg.ClusterID(), startedAt)
	if err != nil {
		return "", err
	}
	path, err := snapshot.WriteFile(options.out, taken)
	if err != nil {
		return "", err
	}
	slog.Info("snapshot taken", "path", path, "revision", taken.Manifest.Revision, "records", taken.Manifest.Records, "took", time.Since(startedAt).Round(time.Millisecond).String())
	if options.keep > 0 {
		removed, err := snapshot.Prune(options.out, cfg.ClusterID(), options.keep)
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
			contents, err := snapshot.ReadFile(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "whole: %d records of deployment %s as of revision %d\n", contents.Manifest.Records, contents.Manifest.Cluster, contents.Manifest.Revision)
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
			contents, err := snapshot.ReadFile(args[0])
			if err != nil {
				return err
			}
			if len(args) == 2 {
				return showRecord(cmd.OutOrStdout(), contents, "job/"+args[1])
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(contents.Manifest)
			}
			return showManifest(cmd.OutOrStdout(), contents.Manifest)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the manifest as JSON")
	return cmd
}

func showRecord(out io.Writer, contents *snapshot.Snapshot, key string) error {
	for _, record := range contents.Records {
		if record.Key == key {
			fmt.Fprintf(out, "%s, revision %d\n%s\n", record.Key, record.Revision, record.Value)
			return nil
		}
	}
	return fmt.Errorf("%s is not in the snapshot", key)
}

func showManifest(out io.Writer, manifest snapshot.Manifest) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "deployment\t%s\ntaken\t%s\nrevision\t%d\ntoken\t%d\nrecords\t%d\n",
		manifest.Cluster, time.UnixMilli(manifest.TakenMs).UTC().Format(time.DateTime), manifest.Revision, manifest.Token, manifest.Records)
	for _, state := range slices.Sorted(maps.Keys(manifest.Jobs)) {
		fmt.Fprintf(table, "jobs %s\t%d\n", state, manifest.Jobs[state])
	}
	return table.Flush()
}

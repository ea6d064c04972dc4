package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ospreyslip/internal/controller"
	"ospreyslip/internal/leader/recoverer"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/recovery/report"
	"ospreyslip/internal/settings"
)

// leaderCommandFunc is the function of a command that needs the settings and a client of the leader.
type leaderCommandFunc func(cmd *cobra.Command, args []string, set *settings.Settings, client *leaderClient) error

// leaderCommandAdapter adapts a leaderCommandFunc to the signature of cobra.Command.RunE.
type leaderCommandAdapter func(leaderCommandFunc) func(*cobra.Command, []string) error

func recoverCommand(load func() (*settings.Settings, error)) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "recover",
		Short: "Show and steer the recovery of records that the state service has lost",
	}
	withLeaderClient := func(run leaderCommandFunc) func(*cobra.Command, []string) error {
		return func(cmd *cobra.Command, args []string) error {
			cfg, err := load()
			if err != nil {
				return err
			}
			return run(cmd, args, cfg, newLeaderClient(cfg))
		}
	}
	cmd.AddCommand(recoverStatusCommand(withLeaderClient), recoverReportCommand(withLeaderClient), recoverImportCommand(withLeaderClient), recoverSettleCommand(withLeaderClient))
	return cmd
}

func recoverStatusCommand(withLeaderClient leaderCommandAdapter) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use: "status", Short: "Show what was noticed, written back and held", Args: cobra.NoArgs,
		RunE: withLeaderClient(func(cmd *cobra.Command, _ []string, _ *settings.Settings, client *leaderClient) error {
			status, err := client.recoveryStatus(cmd.Context())
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(status)
			}
			return showRecovery(cmd.OutOrStdout(), status)
		}),
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func recoverReportCommand(withLeaderClient leaderCommandAdapter) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use: "report --out FILE", Short: "Write a page with tables and a timeline", Args: cobra.NoArgs,
		RunE: withLeaderClient(func(cmd *cobra.Command, _ []string, cfg *settings.Settings, client *leaderClient) error {
			return writeReport(cmd.Context(), cfg, client, path)
		}),
	}
	cmd.Flags().StringVar(&path, "out", "", "file to write (HTML)")
	return cmd
}

func recoverImportCommand(withLeaderClient leaderCommandAdapter) *cobra.Command {
	return &cobra.Command{
		Use: "import FILE", Short: "Hand a snapshot to the leader, which compares the records with it", Args: cobra.ExactArgs(1),
		RunE: withLeaderClient(func(cmd *cobra.Command, args []string, cfg *settings.Settings, client *leaderClient) error {
			return importFile(cmd.Context(), cmd.OutOrStdout(), cfg, client, args[0])
		}),
	}
}

func recoverSettleCommand(withLeaderClient leaderCommandAdapter) *cobra.Command {
	return &cobra.Command{
		Use: "settle JOB done|cancelled|run", Short: "Decide what becomes of a held job", Args: cobra.ExactArgs(2),
		RunE: withLeaderClient(func(cmd *cobra.Command, args []string, _ *settings.Settings, client *leaderClient) error {
			var settled controller.SettleRequest
			request := controller.SettleRequest{Job: args[0], As: recovery.Settlement(args[1])}
			if err := client.do(cmd.Context(), http.MethodPost, "/recovery/settle", request, &settled); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s settled as %s\n", settled.Job, settled.As)
			return nil
		}),
	}
}

// recoveryStatus requests the state of the recovery from the leader.
func (c *leaderClient) recoveryStatus(ctx context.Context) (status recoverer.Status, err error) {
	err = c.do(ctx, http.MethodGet, "/recovery", nil, &status)
	return status, err
}

// showRecovery prints the state of the recovery, followed by a table of held jobs.
func showRecovery(out io.Writer, status recoverer.Status) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "phase\t%s\nlost\t%d jobs, %d records to be written\nheld\t%d jobs\nadopting\t%d jobs\n", status.Phase, status.Lost, status.ToWrite, status.Held, status.Adopting)
	for _, kind := range slices.Sorted(maps.Keys(status.Evidence)) {
		fmt.Fprintf(w, "noticed\t%s: %d\n", kind, status.Evidence[kind])
	}
	for _, outcome := range slices.Sorted(maps.Keys(status.Written)) {
		fmt.Fprintf(w, "written\t%s: %d\n", outcome, status.Written[outcome])
	}
	for _, peer := range status.Peers {
		fmt.Fprintf(w, "controller\t%s heard: %v, taken for gone: %v\n", peer.Node, peer.Heard, peer.Gone)
	}
	if len(status.HeldJobs) > 0 {
		fmt.Fprintf(w, "\nHELD\tDESCRIBED\tWHY\tWHO SAID WHAT\n")
	}
	for _, held := range status.HeldJobs {
		fmt.Fprintf(w, "%s\t%v\t%s\t%s\n", held.Job, held.Described, held.Why, strings.Join(held.Said, "; "))
	}
	return w.Flush()
}

// writeReport writes an HTML report about the leader's recovery to the file at path.
func writeReport(ctx context.Context, cfg *settings.Settings, client *leaderClient, path string) error {
	if path == "" {
		return errors.New("--out FILE is missing")
	}
	status, err := client.recoveryStatus(ctx)
	if err != nil {
		return err
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(report.Write(file, cfg.ClusterID(), status, time.Now()), file.Close())
}

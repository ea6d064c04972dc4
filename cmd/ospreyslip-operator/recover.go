package main

import (
	"bytes"
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
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/recovery/report"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/snapshot"
)

// operatorWait is how long one request to a controller may take.
const operatorWait = 10 * time.Second

// leaderClient asks the leader, whichever controller that is.
type leaderClient struct {
	addrs []string
	http  http.Client
}

func newLeaderClient(set *settings.Settings) *leaderClient {
	c := &leaderClient{addrs: []string{set.ClusterListen}, http: http.Client{Timeout: operatorWait}}
	for _, p := range set.Peers {
		c.addrs = append(c.addrs, p.Addr)
	}
	return c
}

// errNotLeading means that a controller does not lead.
var errNotLeading = errors.New("does not lead")

// do sends a request to each controller until one answers that leads.
func (c *leaderClient) do(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	var failed []error
	for _, addr := range c.addrs {
		err := c.ask(ctx, method, addr, path, body, out)
		var refused *refusal
		if err == nil || errors.As(err, &refused) {
			return err
		}
		failed = append(failed, fmt.Errorf("%s: %w", addr, err))
	}
	return fmt.Errorf("no leader answers: %w", joinLine(failed))
}

// joinLine joins errors on one line.
func joinLine(errs []error) error {
	texts := make([]string, len(errs))
	for i, err := range errs {
		texts[i] = err.Error()
	}
	return errors.New(strings.Join(texts, "; "))
}

// refusal is the leader's answer that it will not do what it was asked.
type refusal struct {
	status int
	reason string
}

func (r *refusal) Error() string { return r.reason }

func (c *leaderClient) ask(ctx context.Context, method, addr, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return json.NewDecoder(resp.Body).Decode(out)
	case http.StatusMisdirectedRequest:
		return errNotLeading
	}
	var why struct {
		Error string `json:"error"`
	}
	_ = json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&why)
	if resp.StatusCode == http.StatusServiceUnavailable || why.Error == "" {
		return fmt.Errorf("status %d %s", resp.StatusCode, why.Error)
	}
	return &refusal{resp.StatusCode, why.Error}
}

func recoverCommand(load func() (*settings.Settings, error)) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "recover",
		Short: "Show and steer the recovery of records that the state service has lost",
	}
	withLeader := func(run func(cmd *cobra.Command, args []string, set *settings.Settings, c *leaderClient) error) func(*cobra.Command, []string) error {
		return func(cmd *cobra.Command, args []string) error {
			set, err := load()
			if err != nil {
				return err
			}
			return run(cmd, args, set, newLeaderClient(set))
		}
	}
	var asJSON bool
	status := &cobra.Command{
		Use: "status", Short: "Show what was noticed, written back and held", Args: cobra.NoArgs,
		RunE: withLeader(func(cmd *cobra.Command, _ []string, _ *settings.Settings, c *leaderClient) error {
			var s leader.RecoveryStatus
			if err := c.do(cmd.Context(), http.MethodGet, "/recovery", nil, &s); err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(s)
			}
			return showRecovery(cmd.OutOrStdout(), s)
		}),
	}
	status.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	var out string
	report := &cobra.Command{
		Use: "report --out FILE", Short: "Write a page with tables and a timeline", Args: cobra.NoArgs,
		RunE: withLeader(func(cmd *cobra.Command, _ []string, set *settings.Settings, c *leaderClient) error {
			return writeReport(cmd.Context(), set, c, out)
		}),
	}
	report.Flags().StringVar(&out, "out", "", "file to write (HTML)")
	importing := &cobra.Command{
		Use: "import FILE", Short: "Hand a snapshot to the leader, which compares the records with it", Args: cobra.ExactArgs(1),
		RunE: withLeader(func(cmd *cobra.Command, args []string, set *settings.Settings, c *leaderClient) error {
			return importFile(cmd.Context(), cmd.OutOrStdout(), set, c, args[0])
		}),
	}
	settle := &cobra.Command{
		Use: "settle JOB done|cancelled|run", Short: "Decide what becomes of a held job", Args: cobra.ExactArgs(2),
		RunE: withLeader(func(cmd *cobra.Command, args []string, _ *settings.Settings, c *leaderClient) error {
			var settled controller.SettleRequest
			in := controller.SettleRequest{Job: args[0], As: recovery.Settlement(args[1])}
			if err := c.do(cmd.Context(), http.MethodPost, "/recovery/settle", in, &settled); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s settled as %s\n", settled.Job, settled.As)
			return nil
		}),
	}
	cmd.AddCommand(status, report, importing, settle)
	return cmd
}

func showRecovery(out io.Writer, s leader.RecoveryStatus) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "phase\t%s\nlost\t%d jobs, %d records to be written\nheld\t%d jobs\nadopting\t%d jobs\n", s.Phase, s.Lost, s.ToWrite, s.Held, s.Adopting)
	for _, kind := range slices.Sorted(maps.Keys(s.Evidence)) {
		fmt.Fprintf(w, "noticed\t%s: %d\n", kind, s.Evidence[kind])
	}
	for _, outcome := range slices.Sorted(maps.Keys(s.Written)) {
		fmt.Fprintf(w, "written\t%s: %d\n", outcome, s.Written[outcome])
	}
	for _, p := range s.Peers {
		fmt.Fprintf(w, "controller\t%s heard: %v, taken for gone: %v\n", p.Node, p.Heard, p.Gone)
	}
	if len(s.HeldJobs) > 0 {
		fmt.Fprintf(w, "\nHELD\tDESCRIBED\tWHY\tWHO SAID WHAT\n")
	}
	for _, h := range s.HeldJobs {
		fmt.Fprintf(w, "%s\t%v\t%s\t%s\n", h.Job, h.Described, h.Why, strings.Join(h.Said, "; "))
	}
	return w.Flush()
}

func writeReport(ctx context.Context, set *settings.Settings, c *leaderClient, path string) error {
	if path == "" {
		return errors.New("--out FILE is missing")
	}
	var s leader.RecoveryStatus
	if err := c.do(ctx, http.MethodGet, "/recovery", nil, &s); err != nil {
		return err
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(report.Write(f, set.ClusterID(), s, time.Now()), f.Close())
}

// importPage bounds what is sent to the leader at a time.
const importPage = 256 << 10

// importFile hands the jobs of a snapshot to the leader, page by page. It can be repeated:
// what is known by then is passed over.
func importFile(ctx context.Context, out io.Writer, set *settings.Settings, c *leaderClient, path string) error {
	s, err := snapshot.Read(path)
	if err != nil {
		return err
	}
	if own := set.ClusterID(); s.Manifest.Cluster != own {
		return fmt.Errorf("snapshot %s is of deployment %s, this is %s", path, s.Manifest.Cluster, own)
	}
	var all leader.Imported
	page, bytes := leader.Import{Cluster: s.Manifest.Cluster, Revision: s.Manifest.Revision}, 0
	send := func() error {
		var count leader.Imported
		if err := c.do(ctx, http.MethodPost, "/recovery/import", page, &count); err != nil {
			return err
		}
		all.Add(count)
		page.Jobs, bytes = nil, 0
		return nil
	}
	for _, r := range s.Records {
		if !strings.HasPrefix(r.Key, jobs.RecordPrefix) || !json.Valid(r.Value) {
			continue
		}
		page.Jobs = append(page.Jobs, leader.SnapshotFact{ID: jobs.IDOf(r.Key), Record: r.Value})
		if bytes += len(r.Key) + len(r.Value); bytes < importPage {
			continue
		}
		if err := send(); err != nil {
			return err
		}
	}
	if err := send(); err != nil {
		return err
	}
	fmt.Fprintf(out, "compared with the records: %d the same or older, %d missing, %d ended, %d descriptions of held jobs, %d contradicting, %d not readable\n",
		all.Same, all.Missing, all.Ended, all.Described, all.Contradicting, all.Invalid)
	return nil
}

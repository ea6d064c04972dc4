package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ospreyslip/internal/controller"
	"ospreyslip/internal/settings"
)

func statusCommand(load func() (*settings.Settings, error)) *cobra.Command {
	var raw bool
	var addr string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show what a running node, and the leader, see",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			asked := []string{addr}
			if addr == "" {
				set, err := load()
				if err != nil {
					return err
				}
				asked = []string{set.ClusterListen}
				for _, p := range set.Peers {
					asked = append(asked, p.Addr)
				}
			}
			// The leader knows most; another node only knows who that is.
			var best []byte
			var view controller.Status
			var failed error
			for _, a := range asked {
				body, err := fetch(cmd.Context(), "http://"+a+"/status")
				var s controller.Status
				if err == nil {
					err = json.Unmarshal(body, &s)
				}
				if err != nil {
					failed = err
					fmt.Fprintf(cmd.ErrOrStderr(), "ospreyslip: %s: %v\n", a, err)
					continue
				}
				if best == nil || s.View != nil {
					best, view = body, s
				}
				if s.View != nil {
					break
				}
			}
			if best == nil {
				return fmt.Errorf("no node answers: %w", failed)
			}
			if raw {
				_, err := cmd.OutOrStdout().Write(best)
				return err
			}
			return show(cmd.OutOrStdout(), view)
		},
	}
	cmd.Flags().BoolVar(&raw, "json", false, "print JSON")
	cmd.Flags().StringVar(&addr, "addr", "", "a node's cluster address; default: this node's and its peers'")
	return cmd
}

func fetch(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return io.ReadAll(resp.Body)
}

func show(out io.Writer, s controller.Status) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "node\t%s (%s)\nleader\t%s\n", s.Node, s.Zone, orNone(s.Leader))
	if v := s.View; v != nil {
		fmt.Fprintf(w, "term\t%d, token %d\n", v.Term, v.Token)
		fmt.Fprintf(w, "verdicts\theld %v, every zone dead %v\n", v.Held, v.Disrupted)
		t := v.Takeover
		fmt.Fprintf(w, "take-over\t%s: %d machines expected, %d heard, %d late, %d never\n", t.Phase, t.Expected, t.Reported, t.Overdue, t.NeverReported)
		fmt.Fprintf(w, "picture\t%.1f s old, %d records to write\n", v.PictureS, v.WriteQueue)
		fmt.Fprintf(w, "\nCLASS\tJOBS\tWAITING\tPLACED\tDONE\n")
		for _, c := range v.Classes {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", c.Class, c.Jobs, c.Waiting, c.Placed, c.Done)
		}
		fmt.Fprintf(w, "\nTEAM\tCPUS\tGPUS\n")
		for _, t := range v.Teams {
			fmt.Fprintf(w, "%s\t%g\t%g\n", t.Team, t.CPUs, t.GPUs)
		}
		fmt.Fprintf(w, "\nMACHINE\tTYPE\tZONE\tSPOT\tSTATE\tSESSION\tTASKS\tCPUS\tIN DOUBT\n")
		for _, m := range v.Machines {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\t%d\t%d\t%g\t%v\n", m.ID, m.Type, m.Zone, m.Spot, m.State, m.Session, m.Tasks, m.CPUs, m.Doubt)
		}
	}
	return w.Flush()
}

func orNone(s string) string {
	if s == "" {
		return "none known"
	}
	return s
}

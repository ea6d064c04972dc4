package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ospreyslip/internal/controller"
	"ospreyslip/internal/leader"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/wirejson"
)

// statusTimeout bounds a status request to one controller.
const statusTimeout = 5 * time.Second

func statusCommand(load func() (*settings.Settings, error)) *cobra.Command {
	var asJSON bool
	var addr string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show what a running node, and the leader, see",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			addrs, err := statusAddrs(addr, load)
			if err != nil {
				return err
			}
			best, err := bestStatus(cmd.Context(), cmd.ErrOrStderr(), addrs)
			if err != nil {
				return err
			}
			if asJSON {
				_, err := cmd.OutOrStdout().Write(best.body)
				return err
			}
			return showStatus(cmd.OutOrStdout(), best.status)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	cmd.Flags().StringVar(&addr, "addr", "", "a node's cluster address; default: this node's and its peers'")
	return cmd
}

// statusAddrs returns the cluster addresses to query: the given one, or those of all controllers in
// the settings if it is empty.
func statusAddrs(addr string, load func() (*settings.Settings, error)) ([]string, error) {
	if addr != "" {
		return []string{addr}, nil
	}
	cfg, err := load()
	if err != nil {
		return nil, err
	}
	addrs := []string{cfg.ClusterListen}
	for _, peer := range cfg.Peers {
		addrs = append(addrs, peer.Addr)
	}
	return addrs, nil
}

// controllerStatus is a controller's response, raw and decoded.
type controllerStatus struct {
	body   []byte
	status controller.Status
}

// bestStatus queries the controllers in order until the leader responds. If the leader does not
// respond, it returns the first response of another controller, which only knows who the leader is.
// It writes a line to warnings for each controller that does not respond.
func bestStatus(ctx context.Context, warnings io.Writer, addrs []string) (best controllerStatus, err error) {
	var lastErr error
	for _, addr := range addrs {
		response, err := fetchStatus(ctx, addr)
		if err != nil {
			lastErr = err
			fmt.Fprintf(warnings, "ospreyslip: %s: %v\n", addr, err)
			continue
		}
		if response.status.LeaderStatus != nil {
			return response, nil
		}
		if best.body == nil {
			best = response
		}
	}
	if best.body == nil {
		return controllerStatus{}, fmt.Errorf("no controller answered: %w", lastErr)
	}
	return best, nil
}

// fetchStatus queries one controller.
func fetchStatus(ctx context.Context, addr string) (controllerStatus, error) {
	body, err := fetch(ctx, "http://"+addr+"/status")
	if err != nil {
		return controllerStatus{}, err
	}
	response := controllerStatus{body: body}
	if err := wirejson.Unmarshal(body, &response.status); err != nil {
		return controllerStatus{}, err
	}
	return response, nil
}

func fetch(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
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

// showStatus prints a controller's status and, if it is the leader, the leader's status.
func showStatus(out io.Writer, status controller.Status) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "node\t%s (%s)\nleader\t%s\n", status.ControllerName, status.Zone, orNoneKnown(status.Leader))
	if status.LeaderStatus != nil {
		showLeaderStatus(w, status.LeaderStatus)
	}
	return w.Flush()
}

// showLeaderStatus prints the leader's own state, followed by tables of job classes, teams and
// machines.
func showLeaderStatus(w io.Writer, status *leader.Status) {
	fmt.Fprintf(w, "term\t%d, token %d\n", status.Term, status.Token)
	fmt.Fprintf(w, "verdicts\theld %v, every zone dead %v\n", status.VerdictsOnHold, status.FullDisruption)
	failover := status.Failover
	fmt.Fprintf(w, "take-over\t%s: %d machines expected, %d heard, %d late, %d never\n",
		failover.Phase, failover.Expected, failover.Reported, failover.Overdue, failover.NeverReported)
	fmt.Fprintf(w, "picture\t%.1f s old, %d records to write\n", status.RecordsAgeS, status.WriteQueue)
	fmt.Fprintf(w, "\nCLASS\tJOBS\tWAITING\tPLACED\tDONE\n")
	for _, class := range status.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", class.Class, class.Jobs, class.Waiting, class.Placed, class.Done)
	}
	fmt.Fprintf(w, "\nTEAM\tCPUS\tGPUS\n")
	for _, team := range status.Teams {
		fmt.Fprintf(w, "%s\t%g\t%g\n", team.Team, team.CPUs, team.GPUs)
	}
	fmt.Fprintf(w, "\nMACHINE\tTYPE\tZONE\tSPOT\tSTATE\tSESSION\tTASKS\tCPUS\tIN DOUBT\n")
	for _, machine := range status.Machines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\t%d\t%d\t%g\t%v\n",
			machine.ID, machine.Type, machine.Zone, machine.Spot, machine.State, machine.AgentEpoch, machine.Tasks, machine.CPUs, machine.InDoubt)
	}
}

func orNoneKnown(s string) string {
	if s == "" {
		return "none known"
	}
	return s
}

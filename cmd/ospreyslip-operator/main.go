// Command ospreyslip-operator implements the operators' commands that do not run in a controller:
// snapshots and the recovery of lost records. It is a separate program so that the libraries for
// files and plots take none of a controller's memory. `ospreyslip snapshot` and `ospreyslip
// recover` execute it.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"ospreyslip/internal/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newRootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "ospreyslip:", err)
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	var config string
	load := func() (*settings.Settings, error) {
		if config == "" {
			return nil, errors.New("--config FILE is missing")
		}
		return settings.Load(config, "")
	}
	cmd := &cobra.Command{
		Use:           "ospreyslip",
		Short:         "Snapshots, and the recovery of lost records",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.PersistentFlags().StringVar(&config, "config", "", "settings file (TOML) of any controller")
	cmd.AddCommand(snapshotCommand(load), recoverCommand(load))
	return cmd
}

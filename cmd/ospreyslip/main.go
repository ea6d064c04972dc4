// Command ospreyslip runs one controller of a cluster scheduler.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"ospreyslip/internal/controller"
	"ospreyslip/internal/logging"
	"ospreyslip/internal/settings"
)

const version = "0.8.0"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "ospreyslip:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	var config, operator string
	load := func() (*settings.Settings, error) {
		if config == "" {
			return nil, fmt.Errorf("--config FILE is missing")
		}
		return settings.Load(config, operator)
	}
	cmd := &cobra.Command{
		Use:           "ospreyslip --config FILE",
		Short:         "Schedule jobs on machines rented from a cloud",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := logging.ToStderr(os.Getenv("LOG_LEVEL")); err != nil {
				return err
			}
			set, err := load()
			if err != nil {
				return err
			}
			return controller.New(set, controller.Environment{}).Run(cmd.Context())
		},
	}
	cmd.PersistentFlags().StringVar(&config, "config", "", "settings file (TOML)")
	cmd.PersistentFlags().StringVar(&operator, "operator", os.Getenv("OSPREYSLIP_OPERATOR"), "operators' settings (JSON); default: $OSPREYSLIP_OPERATOR")
	cmd.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check the settings and print what is derived from them",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := load()
			if err != nil {
				return err
			}
			if err := set.Derive().Print(cmd.OutOrStdout()); err != nil {
				return err
			}
			return set.Budget().Print(cmd.OutOrStdout())
		},
	})
	cmd.AddCommand(statusCommand(load), operatorCommand("snapshot", "Copy all records of the state service into a file"),
		operatorCommand("recover", "Show and steer the recovery of records that the state service has lost"))
	return cmd
}

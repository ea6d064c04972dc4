// Command ospreyslip runs one controller of a cluster scheduler.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"ospreyslip/internal/controller"
	"ospreyslip/internal/logging"
	"ospreyslip/internal/settings"
)

const version = "0.9.3"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newRootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "ospreyslip:", err)
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	var config, operator string
	load := func() (*settings.Settings, error) {
		if config == "" {
			return nil, errors.New("--config FILE is missing")
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
			cfg, err := load()
			if err != nil {
				return err
			}
			return controller.New(cfg, controller.Environment{}).Run(cmd.Context())
		},
	}
	cmd.PersistentFlags().StringVar(&config, "config", "", "settings file (TOML)")
	cmd.PersistentFlags().StringVar(&operator, "operator", os.Getenv("OSPREYSLIP_OPERATOR"), "operators' settings (JSON); default: $OSPREYSLIP_OPERATOR")
	cmd.AddCommand(checkCommand(load), statusCommand(load),
		delegateToOperatorProgram("snapshot", "Copy all records of the state service into a file"),
		delegateToOperatorProgram("recover", "Show and steer the recovery of records that the state service has lost"))
	return cmd
}

func checkCommand(load func() (*settings.Settings, error)) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Check the settings and print what is derived from them",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := load()
			if err != nil {
				return err
			}
			if err := cfg.Derive().Print(cmd.OutOrStdout()); err != nil {
				return err
			}
			return cfg.Budget().Print(cmd.OutOrStdout())
		},
	}
}

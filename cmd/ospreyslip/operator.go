package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// operatorProgram stands beside this one and has the commands that need libraries which a
// controller should not hold in memory.
const operatorProgram = "ospreyslip-operator"

// operatorCommand hands a command over to the operators' program.
func operatorCommand(name, short string) *cobra.Command {
	return &cobra.Command{
		Use:                name,
		Short:              short,
		DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			path := filepath.Join(filepath.Dir(self), operatorProgram)
			if err := syscall.Exec(path, append([]string{operatorProgram, name}, args...), os.Environ()); err != nil {
				return fmt.Errorf("%s: %w", path, err)
			}
			return nil
		},
	}
}

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// operatorProgram is the executable, in the same directory as this one, that implements the
// operators' commands. It is separate so that the libraries it needs take none of a controller's
// memory.
const operatorProgram = "ospreyslip-operator"

// delegateToOperatorProgram returns a command that replaces this process with operatorProgram and
// passes all arguments on.
func delegateToOperatorProgram(name, short string) *cobra.Command {
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

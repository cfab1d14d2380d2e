package main

import (
	"github.com/spf13/cobra"

	"dunestand/internal/federation"
)

func newCellsCommand() *cobra.Command {
	return newGroupCommand(&cobra.Command{Use: "cells", Short: "Work with cells files"}, "dunestand cells check FILE", newCellsCheckCommand())
}

func newCellsCheckCommand() *cobra.Command {
	var settingsFile string
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a cells file",
		Long: `Check a cells file and, with --config, whether it is consistent with the settings of the
cell. Prints nothing if it is valid; otherwise prints the error and exits with status 2.`,
		Args: oneFile,
		RunE: func(_ *cobra.Command, args []string) error {
			cells, err := federation.LoadConfig(args[0])
			if err != nil {
				return inputError{err}
			}
			if settingsFile == "" {
				return nil
			}
			settings, _, err := load(settingsFile, "")
			if err != nil {
				return err
			}
			if err := cells.CheckSettings(settings); err != nil {
				return inputError{err}
			}
			return nil
		},
	}
	check.Flags().StringVar(&settingsFile, "config", "", "settings file (JSON) of the cell")
	return check
}

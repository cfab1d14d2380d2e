package main

import (
	"errors"

	"github.com/spf13/cobra"

	"dunestand/internal/federation"
)

func cellsCommand() *cobra.Command {
	cells := &cobra.Command{
		Use:   "cells",
		Short: "Work with cells files",
		Args:  oneArgument,
		RunE: func(*cobra.Command, []string) error {
			return badInput{errors.New("cells: use dunestand cells check FILE")}
		},
	}
	cells.AddCommand(cellsCheckCommand())
	return cells
}

func cellsCheckCommand() *cobra.Command {
	var settingsFile string
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a cells file",
		Long: `Check a cells file, and with --config whether it goes together with the settings of the
cell. Prints nothing but what is wrong, and then exits with status 2.`,
		Args: oneArgument,
		RunE: func(_ *cobra.Command, args []string) error {
			cells, err := federation.LoadConfig(args[0])
			if err != nil {
				return badInput{err}
			}
			if settingsFile == "" {
				return nil
			}
			settings, _, err := load(settingsFile, "")
			if err != nil {
				return err
			}
			if err := cells.CheckSettings(settings); err != nil {
				return badInput{err}
			}
			return nil
		},
	}
	check.Flags().StringVar(&settingsFile, "config", "", "settings file (JSON) of the cell")
	return check
}

package main

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"

	"dunestand/internal/config"
)

func newRootCommand() *cobra.Command {
	var settingsFile, policyFile string
	root := &cobra.Command{
		Use:   "dunestand --config FILE",
		Short: "Run one controller of the cluster scheduler",
		Long: `dunestand schedules batch jobs on rented machines.

Start one process per controller, each with its own settings file. All state is
in the key-value store that the settings name as services.state, so a process
can be killed and restarted at any time. It logs to standard error; the
environment variable LOG_LEVEL sets the level: error, info (default) or debug.`,
		Example: `  dunestand check settings.json      # is the settings file valid?
  dunestand policy check site.policy # is the policy valid?
  LOG_LEVEL=info dunestand --config settings.json`,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return inputErrorf("unknown command %q; see dunestand --help", args[0])
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), settingsFile, policyFile) },
	}
	root.Flags().StringVar(&settingsFile, "config", "", "settings file (JSON), as provided by the platform")
	root.Flags().StringVar(&policyFile, "policy", "", "policy file; overrides policy_file in the settings")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return inputError{err} })
	root.CompletionOptions.DisableDefaultCmd = true

	root.AddCommand(newCheckCommand(), newPolicyCommand(), newAdmissionCommand(), newCellsCommand(), newVersionCommand())
	return root
}

// newGroupCommand adds subcommands to a command that only groups them. An unknown subcommand
// is an input error that names the usage.
func newGroupCommand(group *cobra.Command, usage string, subcommands ...*cobra.Command) *cobra.Command {
	group.Args = oneFile
	group.RunE = func(*cobra.Command, []string) error { return inputErrorf("%s: use %s", group.Use, usage) }
	group.AddCommand(subcommands...)
	return group
}

// exactArgs requires count arguments. The error for another number of arguments contains
// expected, which describes them.
func exactArgs(count int, expected string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != count {
			return inputErrorf("%s: expected %s", cmd.CommandPath(), expected)
		}
		return nil
	}
}

var oneFile = exactArgs(1, "one file")

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file",
		Long:  "Check a settings file and the policy file that it names. Prints nothing if both are valid; otherwise prints the error and exits with status 2.",
		Args:  oneFile,
		RunE: func(_ *cobra.Command, args []string) error {
			_, _, err := load(args[0], "")
			return err
		},
	}
}

func newPolicyCommand() *cobra.Command {
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a policy file",
		Args:  oneFile,
		RunE: func(_ *cobra.Command, args []string) error {
			if _, err := config.LoadPolicy(args[0]); err != nil {
				return inputError{err}
			}
			return nil
		},
	}
	return newGroupCommand(&cobra.Command{Use: "policy", Short: "Work with policy files"}, "dunestand policy check FILE", check)
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  exactArgs(0, "no arguments"),
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "dunestand", Version, runtime.Version())
		},
	}
}

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/node"
)

// admissionCommand looks at the admission plan of a running fleet.
func admissionCommand() *cobra.Command {
	admission := &cobra.Command{
		Use:   "admission",
		Short: "Look at the admission plan of a fleet",
		Long: `Look at the plan by which controllers admit jobs under overload. It is read from the
state service that the settings name; no controller is asked and nothing is changed.`,
		Args: oneArgument,
		RunE: func(*cobra.Command, []string) error {
			return badInput{errors.New("admission: use dunestand admission show or explain")}
		},
	}
	admission.AddCommand(showCommand(), explainCommand())
	return admission
}

func showCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show SETTINGS",
		Short: "Show the plan: quotas, what is restricted, whose turn it is",
		Args:  oneArgument,
		RunE: func(cmd *cobra.Command, args []string) error {
			plan, err := readPlan(cmd, args[0])
			if err != nil {
				return err
			}
			return plan.Describe(cmd.OutOrStdout())
		},
	}
}

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain SETTINGS JOB",
		Short: "Tell what the plan says about a job, and why",
		Long: `Tell what the plan says about a job that is not known yet. JOB is a file with the
submission as JSON.`,
		Args: func(cmd *cobra.Command, args []string) error {
			const files = 2
			if len(args) != files {
				return badInput{fmt.Errorf("%s: expected a settings file and a job", cmd.CommandPath())}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			job, err := readJob(args[1])
			if err != nil {
				return badInput{err}
			}
			plan, err := readPlan(cmd, args[0])
			if err != nil {
				return err
			}
			return plan.Explain(cmd.OutOrStdout(), job)
		},
	}
}

// readPlan reads the plan of the fleet that a settings file is for.
func readPlan(cmd *cobra.Command, settingsFile string) (*node.AdmissionPlan, error) {
	settings, err := config.Load(settingsFile)
	if err != nil {
		return nil, badInput{err}
	}
	return node.ReadAdmissionPlan(cmd.Context(), settings, nil)
}

// readJob reads a submission that is written as JSON.
func readJob(path string) (*protocol.JobSpec, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var fields map[string]any
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, fmt.Errorf("job %s: not JSON: %w", path, err)
	}
	wholeNumbers(fields)
	job, err := protocol.ParseSubmission(protocol.Encode(fields))
	if err != nil {
		return nil, fmt.Errorf("job %s: %w", path, err)
	}
	return job, nil
}

// wholeNumbers turns the number of tasks into an integer, as the protocol has it: JSON does
// not tell it from other numbers.
func wholeNumbers(fields map[string]any) {
	const tasks = "bolts"
	if n, ok := fields[tasks].(float64); ok && n == float64(int64(n)) {
		fields[tasks] = int64(n)
	}
}

package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/node"
)

func newAdmissionCommand() *cobra.Command {
	return groupCommand(&cobra.Command{
		Use:   "admission",
		Short: "Look at the admission plan of a fleet",
		Long: `Look at the plan by which controllers admit jobs under overload. It is read from the
state service that the settings name; no controller is asked and nothing is changed.`,
	}, "dunestand admission show or explain", newShowCommand(), newExplainCommand())
}

func newShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show SETTINGS",
		Short: "Show the plan: quotas, what is restricted, whose turn it is",
		Args:  oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			plan, err := readPlan(cmd, args[0])
			if err != nil {
				return err
			}
			return plan.Describe(cmd.OutOrStdout())
		},
	}
}

func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain SETTINGS JOB",
		Short: "Tell what the plan says about a job, and why",
		Long: `Tell what the plan says about a job that is not known yet. JOB is a file with the
submission as JSON.`,
		Args: exactArgs(2, "a settings file and a job"),
		RunE: func(cmd *cobra.Command, args []string) error {
			job, err := readJob(args[1])
			if err != nil {
				return inputError{err}
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
		return nil, inputError{err}
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
	convertTaskCount(fields)
	job, err := protocol.ParseSubmission(protocol.Encode(fields))
	if err != nil {
		return nil, fmt.Errorf("job %s: %w", path, err)
	}
	return job, nil
}

// convertTaskCount makes the number of tasks an integer, as the protocol has it: JSON does
// not distinguish it from other numbers.
func convertTaskCount(fields map[string]any) {
	if count, ok := fields[protocol.FieldTasks].(float64); ok && count == float64(int64(count)) {
		fields[protocol.FieldTasks] = int64(count)
	}
}

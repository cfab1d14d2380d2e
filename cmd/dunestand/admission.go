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
	return newGroupCommand(&cobra.Command{
		Use:   "admission",
		Short: "Inspect the admission plan of a fleet",
		Long: `Inspect the plan by which controllers admit jobs under overload. It is read from the
key-value store that the settings name as services.state. The commands contact no
controller and change nothing.`,
	}, "dunestand admission show or explain", newShowCommand(), newExplainCommand())
}

func newShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show SETTINGS",
		Short: "Show the plan: quotas, restrictions and the jobs at the head of the queue",
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
		Short: "Explain how the plan decides on a job",
		Long: `Explain how the plan decides on a job that has not been submitted yet. JOB is a file that
contains the submission as JSON.`,
		Args: exactArgs(2, "a settings file and a job file"),
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

// readPlan reads the current admission plan of the fleet that a settings file belongs to.
func readPlan(cmd *cobra.Command, settingsFile string) (*node.AdmissionPlan, error) {
	settings, err := config.Load(settingsFile)
	if err != nil {
		return nil, inputError{err}
	}
	return node.ReadAdmissionPlan(cmd.Context(), settings, nil)
}

// readJob reads a file that contains a submission as JSON.
func readJob(path string) (*protocol.JobSpec, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var fields map[string]any
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, fmt.Errorf("job %s: invalid JSON: %w", path, err)
	}
	convertTaskCount(fields)
	job, err := protocol.ParseSubmission(protocol.Encode(fields))
	if err != nil {
		return nil, fmt.Errorf("job %s: %w", path, err)
	}
	return job, nil
}

// convertTaskCount converts the number of tasks to an integer, which the protocol requires. JSON
// decodes every number as a float64.
func convertTaskCount(fields map[string]any) {
	if count, ok := fields[protocol.FieldTasks].(float64); ok && count == float64(int64(count)) {
		fields[protocol.FieldTasks] = int64(count)
	}
}

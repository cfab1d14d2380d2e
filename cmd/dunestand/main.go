// Command dunestand is the cluster scheduler's controller.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"dunestand/internal/config"
	"dunestand/node"
)

// Version is what `dunestand version` prints.
const Version = "0.1.0"

// badInput marks an error that is the operator's to mend: exit status 2.
type badInput struct{ error }

func main() {
	if err := command().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "dunestand:", err)
		var bad badInput
		if errors.As(err, &bad) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var settingsFile, policyFile string
	root := &cobra.Command{
		Use:   "dunestand --config FILE",
		Short: "Run one controller of the cluster scheduler",
		Long: `dunestand schedules batch jobs on rented machines.

Start one process per controller node, each with its own settings file. All
state is in the state service that the settings name; a process can be killed
and started again at any time. It logs to standard error, as much as the
variable LOG_LEVEL says: error, info or debug.`,
		Example: `  dunestand check settings.json      # is the settings file valid?
  dunestand policy check site.policy # is the policy valid?
  LOG_LEVEL=info dunestand --config settings.json`,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return badInput{fmt.Errorf("unknown command %q; see dunestand --help", args[0])}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), settingsFile, policyFile) },
	}
	root.Flags().StringVar(&settingsFile, "config", "", "settings file (JSON) as the platform hands it over")
	root.Flags().StringVar(&policyFile, "policy", "", "policy file, in place of the settings' policy_file")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return badInput{err} })
	root.CompletionOptions.DisableDefaultCmd = true

	root.AddCommand(checkCommand(), policyCommand(), admissionCommand(), cellsCommand(), versionCommand())
	return root
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file",
		Long:  "Check a settings file, and the policy that it names. Prints nothing but what is wrong, and then exits with status 2.",
		Args:  oneArgument,
		RunE: func(_ *cobra.Command, args []string) error {
			_, _, err := load(args[0], "")
			return err
		},
	}
}

func policyCommand() *cobra.Command {
	policy := &cobra.Command{
		Use:   "policy",
		Short: "Work with policy files",
		Args:  oneArgument,
		RunE: func(*cobra.Command, []string) error {
			return badInput{errors.New("policy: use dunestand policy check FILE")}
		},
	}
	policy.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a policy file",
		Args:  oneArgument,
		RunE: func(_ *cobra.Command, args []string) error {
			if _, err := config.LoadPolicy(args[0]); err != nil {
				return badInput{err}
			}
			return nil
		},
	})
	return policy
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return badInput{fmt.Errorf("%s: expected no arguments", cmd.CommandPath())}
			}
			return nil
		},
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "dunestand", Version, runtime.Version())
		},
	}
}

func oneArgument(cmd *cobra.Command, args []string) error {
	if len(args) != 1 {
		return badInput{fmt.Errorf("%s: expected one file", cmd.CommandPath())}
	}
	return nil
}

func load(settingsFile, policyFile string) (*config.Settings, *config.Policy, error) {
	if settingsFile == "" {
		return nil, nil, badInput{errors.New("--config: missing; see dunestand --help")}
	}
	s, err := config.Load(settingsFile)
	if err != nil {
		return nil, nil, badInput{err}
	}
	if policyFile == "" {
		policyFile = s.Policy
	}
	if policyFile == "" {
		return s, config.DefaultPolicy(), nil
	}
	p, err := config.LoadPolicy(policyFile)
	if err == nil {
		err = p.CheckShares(&s.Fleet)
	}
	if err != nil {
		return nil, nil, badInput{err}
	}
	return s, p, nil
}

func run(ctx context.Context, settingsFile, policyFile string) error {
	s, policy, err := load(settingsFile, policyFile)
	if err != nil {
		return err
	}
	level := slog.LevelInfo
	if l := os.Getenv("LOG_LEVEL"); l != "" {
		if err := level.UnmarshalText([]byte(l)); err != nil {
			return badInput{fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", l)}
		}
	}
	limitProcess(s.Fleet.Resources)
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	return node.New(s, node.Deps{Log: log, Policy: policy}).Run(ctx)
}

// Pace of the garbage collector. What is live is a few MB, and a collection delays
// everything else on a small share of a core: so the heap may grow to many times that.
// The limit, a share of the machine's memory, has it collect in time.
const (
	gcPercent   = 1000
	memoryShare = 0.7
)

// limitProcess fits the runtime to the machine's share: one thread of Go code
// for a share of one core, and a collector that works harder near the limit.
func limitProcess(r config.Resources) {
	runtime.GOMAXPROCS(max(1, int(r.CoreShare+0.99)))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(r.RAMMB * memoryShare * (1 << 20)))
}

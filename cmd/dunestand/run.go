package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"dunestand/internal/config"
	"dunestand/node"
)

// load reads the settings and the policy: the one in policyFile, or else the one that the
// settings name, or else the default.
func load(settingsFile, policyFile string) (*config.Settings, *config.Policy, error) {
	if settingsFile == "" {
		return nil, nil, inputErrorf("--config: missing; see dunestand --help")
	}
	settings, err := config.Load(settingsFile)
	if err != nil {
		return nil, nil, inputError{err}
	}
	if policyFile == "" {
		policyFile = settings.PolicyFile
	}
	if policyFile == "" {
		return settings, config.DefaultPolicy(), nil
	}
	policy, err := config.LoadPolicy(policyFile)
	if err == nil {
		err = policy.CheckShares(&settings.Fleet)
	}
	if err != nil {
		return nil, nil, inputError{err}
	}
	return settings, policy, nil
}

// run runs the controller until ctx ends or the process gets a signal to end.
func run(ctx context.Context, settingsFile, policyFile string) error {
	settings, policy, err := load(settingsFile, policyFile)
	if err != nil {
		return err
	}
	level, err := logLevel(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	limitProcess(settings.Fleet.Resources)
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	return node.New(settings, node.Deps{Log: log, Policy: policy}).Run(ctx)
}

// logLevel reads the name of a level; without one it is info.
func logLevel(name string) (slog.Level, error) {
	level := slog.LevelInfo
	if name == "" {
		return level, nil
	}
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return level, inputErrorf("LOG_LEVEL: %q is not error, info or debug", name)
	}
	return level, nil
}

// Pace of the garbage collector. What is live is a few MB, and a collection delays
// everything else on a small share of a core: so the heap may grow to many times that.
// The limit, a share of the machine's memory, has it collect in time.
const (
	gcPercent   = 1000
	memoryShare = 0.7
)

// threadRounding is added to the share of cores before it is cut off to a number of threads:
// one thread more for a share that is at least a hundredth over a whole number.
const threadRounding = 0.99

// limitProcess fits the runtime to the machine's share: one thread of Go code
// for a share of one core, and a collector that works harder near the limit.
func limitProcess(resources config.Resources) {
	runtime.GOMAXPROCS(max(1, int(resources.CoreShare+threadRounding)))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(resources.RAMMB * memoryShare * (1 << 20)))
}

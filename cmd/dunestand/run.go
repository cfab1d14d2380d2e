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

// load reads and validates the settings and the policy. The policy is that of policyFile, or else
// of the file that the settings name, or else the built-in one. Invalid files are input errors.
func load(settingsFile, policyFile string) (*config.Settings, *config.Policy, error) {
	if settingsFile == "" {
		return nil, nil, inputErrorf("--config is required; see dunestand --help")
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

// run runs a controller until ctx is done or the process receives SIGINT or SIGTERM.
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

// logLevel parses the name of a log level. The default for an empty name is info.
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

// Garbage collector settings. The live heap is a few MB, and on a small share of a core a
// collection delays all other work. So the heap may grow to many times its live size, up to a
// memory limit near which collections become more frequent.
const (
	gcPercent   = 1000
	memoryShare = 0.7 // share of the memory in the settings that is the memory limit
)

// threadRounding is added to the core share before it is truncated to the number of threads. A
// share that exceeds a whole number by 0.01 or more gets an additional thread.
const threadRounding = 0.99

// limitProcess adapts the Go runtime to the resource limits of the process: one thread per core
// of the core share, and a memory limit for the garbage collector.
func limitProcess(resources config.Resources) {
	runtime.GOMAXPROCS(max(1, int(resources.CoreShare+threadRounding)))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(resources.RAMMB * memoryShare * (1 << 20)))
}

package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/settings"
)

// serve runs one entry instance until a signal asks for a planned stop, and returns the exit
// status.
func serve(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	file := flags.String("settings", "", "settings `file` in JSON with comments (required)")
	if err := flags.Parse(args); err != nil {
		return parseStatus(err)
	}
	if *file == "" {
		fmt.Fprintln(os.Stderr, "oriolepond serve: -settings is required")
		return exitUsage
	}
	s, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.Memory)))
	}
	z, err := zap.NewProduction()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = z.Sync() }()
	i := &oriolepond.Instance{Settings: s, Log: eventlog.New(z).With(zap.String("instance", s.ID))}
	if err := i.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// parseStatus returns the exit status for an error of FlagSet.Parse: zero if help was requested,
// otherwise exitUsage.
func parseStatus(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	return exitUsage
}

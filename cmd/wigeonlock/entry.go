package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/wigeonlock/wigeonlock/gateway"
	"github.com/wigeonlock/wigeonlock/logs"
)

const (
	// _gcPercent keeps the heap small: memory is billed by its peak, and the heap
	// of an instance is a few megabytes.
	_gcPercent = 100
	// _memoryShare is the share of the process's memory that is set as the soft limit
	// of the Go runtime, above which it collects garbage regardless of the cost.
	_memoryShare = 0.7
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry instance on the users' platform until a signal stops it",
		Description: "Accepts callers, forwards their requests to the workers and watches the platform's store.\n" +
			"SIGTERM or SIGINT shuts the instance down gracefully; SIGHUP reloads the settings.",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE`"}},
		Action: runEntry,
	}
}

func runEntry(ctx context.Context, c *cli.Command) error {
	// A SIGHUP that arrives during the start must not end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	s, err := gateway.Load(c.String("settings"))
	if err != nil {
		return err
	}
	level, err := zapcore.ParseLevel(s.Log.Level)
	if err != nil {
		return err
	}
	debug.SetGCPercent(_gcPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryMb) * _memoryShare * (1 << 20)))
	log, flush := logs.New(os.Stdout, level)
	defer flush()
	ctx, stop := untilSignal(ctx)
	defer stop()
	i := gateway.New(s, log)
	go i.Reload(ctx, c.String("settings"), hangups)
	if err := i.Run(ctx); err != nil {
		log.Error("instance failed", zap.Error(err))
		return err
	}
	return nil
}

package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/wigeonlock/wigeonlock/instance"
	"github.com/wigeonlock/wigeonlock/settings"
	"github.com/wigeonlock/wigeonlock/standin"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry instance until it is told to stop",
		Description: "SIGTERM or SIGINT makes the instance leave gracefully: it leaves look-up answers,\n" +
			"serves on for the look-up time to live, and ends what is open. A second signal ends it now.",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE`"}},
		Action: serve,
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	s, err := settings.Load(c.String("settings"))
	if err != nil {
		return err
	}
	log, err := newLogger(s.Log.Level)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	options := instance.Options{Log: log, Seed: uint64(os.Getpid())}
	if s.Platform.URL == settings.Embedded {
		stop, err := embed(s)
		if err != nil {
			return err
		}
		defer stop()
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	if err := instance.New(s, options).Run(ctx); err != nil {
		return err
	}
	log.Info("instance stopped")
	return nil
}

// embed starts an in-process platform for a deployment on one machine.
func embed(s *settings.Settings) (stop func(), err error) {
	p := &standin.Platform{}
	if err := p.Listen("127.0.0.1:0"); err != nil {
		return nil, errors.Wrap(err, "embedded platform")
	}
	s.Platform.URL = p.URL()
	return func() { _ = p.Close() }, nil
}

// untilSignal returns a context that ends with the first SIGTERM or SIGINT.
// The second one ends the process.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
			return
		}
		<-signals
		os.Exit(_exitFailed)
	}()
	return ctx, cancel
}

// newLogger writes JSON lines to standard error.
func newLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.Sampling = nil
	config.DisableStacktrace = true
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncoderConfig.TimeKey = "time"
	log, err := config.Build()
	if err != nil {
		return nil, errors.Wrap(err, "build logger")
	}
	return log, nil
}

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
		Usage: "run an entry instance until a signal stops it",
		Description: "SIGTERM or SIGINT shuts the instance down gracefully: it is removed from lookup answers, serves\n" +
			"until cached answers have expired, and finishes open requests. A second signal stops it at once.",
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
		stop, err := startEmbedded(s)
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

// startEmbedded starts an in-process platform, for a deployment on one machine, and
// sets its URL in s.
func startEmbedded(s *settings.Settings) (stop func(), err error) {
	p := &standin.Platform{}
	if err := p.Listen("127.0.0.1:0"); err != nil {
		return nil, errors.Wrap(err, "start embedded platform")
	}
	s.Platform.URL = p.URL()
	return func() { _ = p.Close() }, nil
}

// untilSignal returns a context that the first SIGTERM or SIGINT cancels. The
// second one exits the process with _exitFailed.
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

// newLogger returns a logger that writes JSON lines to standard error. It fails if
// the level is unknown.
func newLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "parse log level")
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

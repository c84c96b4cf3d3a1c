package main

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/demo"
	"github.com/wigeonlock/wigeonlock/deployment"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a deployment in this process under month-end load, with failures",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "lederer", Usage: "deployment to run: ben-salah or lederer"},
			&cli.IntFlag{Name: "seconds", Value: 10, Usage: "seconds for which callers send requests"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the callers' random choices"},
			&cli.StringFlag{Name: "log", Value: "error", Usage: "log level of the entry instances"},
			formatFlag(),
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	asJSON, err := parseFormat(c)
	if err != nil {
		return err
	}
	d, ok := deployment.Find(c.String("deployment"))
	if !ok {
		return usage("unknown deployment %q: must be one of %v", c.String("deployment"), deployment.Names())
	}
	const maxSeconds = 600
	if n := c.Int("seconds"); n < 1 || n > maxSeconds {
		return usage("seconds must be from 1 to %d", maxSeconds)
	}
	log, err := newLogger(c.String("log"))
	if err != nil {
		return usage("%s", err.Error())
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	report, err := demo.Run(ctx, demo.Options{
		Deployment: d, Length: time.Duration(c.Int("seconds")) * time.Second, Seed: c.Uint64("seed"),
		Log: log.WithOptions(zap.AddStacktrace(zap.FatalLevel)), Progress: progressTo(c.Root().ErrWriter),
	})
	if err != nil {
		return err
	}
	if asJSON {
		err = printJSON(c, report)
	} else {
		err = printReport(c, report)
	}
	if err == nil && !report.Passed() {
		return errors.New("a promise was broken or too few answers were complete; see the report")
	}
	return err
}

func printReport(c *cli.Command, r demo.Report) error {
	w := c.Root().Writer
	for _, line := range []struct {
		name  string
		value any
	}{
		{"deployment", r.Deployment},
		{"requests", r.Requests},
		{"answered whole", r.Complete},
		{"told not run", r.NotRun},
		{"told unknown", r.Unknown},
		{"failed", r.Failed},
		{"truncated", r.Truncated},
		{"misdelivered", r.Misdelivered},
		{"told not run but ran", r.FalseNotRun},
		{"payments run twice", r.DuplicatePayments},
		{"shift cap exceeded", r.CapBreaches},
		{"moves that overloaded a region", r.OverloadedMoves},
		{"cut off by a planned stop", r.PlannedStopDisconnects},
		{"moved requests", r.MovedRequests},
		{"tries again by callers", r.CallerRetries},
		{"longest rollout of an edit, ms", r.RolloutMaxMs},
		{"latency p50, ms", r.P50Ms},
		{"latency p99, ms", r.P99Ms},
	} {
		if _, err := fmt.Fprintf(w, "%-32s %v\n", line.name, line.value); err != nil {
			return err
		}
	}
	for reason, n := range r.Reasons {
		if _, err := fmt.Fprintf(w, "  %s: %d\n", reason, n); err != nil {
			return err
		}
	}
	return nil
}

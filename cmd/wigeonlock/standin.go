package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	discoveryhttp "github.com/wigeonlock/wigeonlock/discovery/http"
	"github.com/wigeonlock/wigeonlock/standin"
)

func standinCommand() *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Required: true, Usage: "`ADDRESS` to listen on"}
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for a system that wigeonlock works with",
		Commands: []*cli.Command{
			{
				Name: "store", Usage: "in-memory stand-in for the platform's store and instance list",
				Flags: []cli.Flag{
					listen,
					&cli.DurationFlag{Name: "list-lag", Value: 2 * time.Second, Usage: "age of the instance list in answers"},
					&cli.DurationFlag{Name: "delay", Usage: "delay added to each store call"},
				},
				Action: standinStore,
			},
			{
				Name: "worker", Usage: "stand-in for a backend server",
				Flags: []cli.Flag{
					listen,
					&cli.StringFlag{Name: "platform", Required: true, Usage: "`URL` of the platform to register with"},
					&cli.StringFlag{Name: "region", Required: true, Usage: "`REGION` of the worker"},
					&cli.StringFlag{Name: "zone", Required: true, Usage: "availability `ZONE` of the worker"},
					&cli.StringFlag{Name: "service", Required: true, Usage: "`SERVICE` that the worker offers"},
					&cli.StringFlag{Name: "name", Usage: "`NAME` in the instance list; if empty, derived from service and address"},
					&cli.IntFlag{Name: "slots", Value: 4, Usage: "number of requests run concurrently"},
					&cli.DurationFlag{Name: "work", Value: 20 * time.Millisecond, Usage: "time that a request takes"},
					&cli.DurationFlag{Name: "coldStart", Usage: "time after the start during which requests are slower"},
					&cli.DurationFlag{Name: "linger", Value: 5 * time.Second, Usage: "time spent in state leaving after SIGTERM"},
				},
				Action: standinWorker,
			},
		},
	}
}

func standinStore(ctx context.Context, c *cli.Command) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	p := &standin.Platform{ListLag: c.Duration("list-lag"), Delay: c.Duration("delay")}
	if err := p.Listen(c.String("listen")); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(c.Root().Writer, "listening on "+p.Address())
	<-ctx.Done()
	return p.Close()
}

func standinWorker(ctx context.Context, c *cli.Command) error {
	if c.Int("slots") < 1 {
		return usage("slots must be at least 1")
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	w := &standin.Worker{
		Name: c.String("name"), Region: c.String("region"), Zone: c.String("zone"), Service: c.String("service"),
		Slots: c.Int("slots"), ServiceTime: c.Duration("work"), ColdStart: c.Duration("coldStart"),
		Directory: &discoveryhttp.Directory{URL: c.String("platform")},
	}
	if err := w.Listen(c.String("listen")); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(c.Root().Writer, "listening on "+w.Address())
	<-ctx.Done()
	const longestRequest = 60 * time.Second
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), longestRequest)
	defer cancel()
	return w.Leave(leaveCtx, c.Duration("linger"))
}

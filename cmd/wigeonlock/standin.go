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
		Usage: "run a stand-in of a system around wigeonlock",
		Commands: []*cli.Command{
			{
				Name: "store", Usage: "in-memory stand-in of the platform's store and list of instances",
				Flags: []cli.Flag{
					listen,
					&cli.DurationFlag{Name: "list-lag", Value: 2 * time.Second, Usage: "age of the list's answers"},
					&cli.DurationFlag{Name: "delay", Usage: "time added to each call of the store"},
				},
				Action: standinStore,
			},
			{
				Name: "worker", Usage: "stand-in of a backend server",
				Flags: []cli.Flag{
					listen,
					&cli.StringFlag{Name: "platform", Required: true, Usage: "`URL` of the platform to register at"},
					&cli.StringFlag{Name: "region", Required: true, Usage: "`REGION` of the worker"},
					&cli.StringFlag{Name: "zone", Required: true, Usage: "availability `ZONE` of the worker"},
					&cli.StringFlag{Name: "service", Required: true, Usage: "`SERVICE` that it offers"},
					&cli.StringFlag{Name: "name", Usage: "`NAME` in the list; made from service and address if empty"},
					&cli.IntFlag{Name: "slots", Value: 4, Usage: "requests that it runs together"},
					&cli.DurationFlag{Name: "work", Value: 20 * time.Millisecond, Usage: "time that a request takes"},
					&cli.DurationFlag{Name: "coldStart", Usage: "time in which it is slower after its start"},
					&cli.DurationFlag{Name: "linger", Value: 5 * time.Second, Usage: "time for which it is leaving after SIGTERM"},
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
		Slots: c.Int("slots"), Work: c.Duration("work"), ColdStart: c.Duration("coldStart"),
		Directory: &discoveryhttp.Directory{URL: c.String("platform")},
	}
	if err := w.Listen(c.String("listen")); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(c.Root().Writer, "listening on "+w.Address())
	<-ctx.Done()
	const longestRequest = 60 * time.Second
	leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), longestRequest)
	defer cancel()
	return w.Leave(leave, c.Duration("linger"))
}

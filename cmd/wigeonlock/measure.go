package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/wigeonlock/wigeonlock/measure"
)

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "measure a part of the system on this machine",
		Commands: []*cli.Command{
			measurement("forward", "latency that one and two hops add to a direct call", measure.Forward),
			measurement("lookup", "look-ups at 130,000 blocks, 63 sites and 540 instances", measure.Lookup),
			measurement("control", "control traffic of 10 to 540 instances", measure.Control),
			measurement("policy", "decisions under load and faults, beside simpler policies", measure.Policy),
			measurement("placing", "placing of objects under load patterns, beside simpler ways", measure.Placement),
			measurement("rollout", "time until an accepted edit is in force, beside polling", measure.Rollout),
			measurement("quota", "use of a shift cap by escrow, beside an equal split and one counter", measure.Quota),
			capacityCommand(),
			measurement("payment", "claims of payments, beside one swap per claim", measure.Payment),
		},
	}
}

// measurement returns the command of one measurement.
func measurement[T any](name, usageText string, run func(context.Context, measure.Options) (T, error)) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usageText,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of random choices"},
			formatFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			asJSON, err := formatOf(c)
			if err != nil {
				return err
			}
			ctx, stop := untilSignal(ctx)
			defer stop()
			result, err := run(ctx, measure.Options{Seed: c.Uint64("seed"), Progress: progressTo(c.Root().ErrWriter)})
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(c, result)
			}
			_, err = fmt.Fprint(c.Root().Writer, measure.Text(result))
			return err
		},
	}
}

// capacityCommand measures what docs/CAPACITY.md is worked out from.
func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure the slopes of the capacity page, and write its tables",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of random choices"},
			&cli.StringFlag{Name: "page", Usage: "rewrite the marked tables of this `FILE`; printed if empty"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, stop := untilSignal(ctx)
			defer stop()
			tables, err := measure.Capacity(ctx, measure.Options{
				Seed: c.Uint64("seed"), Progress: progressTo(c.Root().ErrWriter),
			})
			if err != nil {
				return err
			}
			page := c.String("page")
			if page == "" {
				for _, t := range tables {
					if _, err = fmt.Fprintf(c.Root().Writer, "%s\n%s\n", t.Name, t.Markdown); err != nil {
						return err
					}
				}
				return nil
			}
			data, err := os.ReadFile(page)
			if err != nil {
				return err
			}
			next, err := measure.Rewrite(string(data), tables)
			if err != nil {
				return err
			}
			return os.WriteFile(page, []byte(next), 0o644)
		},
	}
}

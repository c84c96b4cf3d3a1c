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
			measurement("lookup", "lookups with 130,000 blocks, 63 sites and 540 instances", measure.Lookup),
			measurement("control", "control traffic of 10 to 540 instances", measure.Control),
			measurement("policy", "decisions under load and faults, compared with simpler policies", measure.Policy),
			measurement("placing", "assignment of objects under load patterns, compared with simpler policies", measure.Placement),
			measurement("moves", "objects that change their worker when workers come and go, before and now", measure.Moves),
			measurement("rollout", "time until an accepted edit is active, compared with polling", measure.Rollout),
			measurement("quota", "use of a shift cap by escrow, compared with an equal split and one counter", measure.Quota),
			capacityCommand(),
			measurement("payment", "payment claims, compared with one compare-and-swap per claim", measure.Payment),
		},
	}
}

// measurement returns the command that runs one measurement and prints its result.
func measurement[T any](name, usageText string, run func(context.Context, measure.Options) (T, error)) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usageText,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of random choices"},
			formatFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			asJSON, err := parseFormat(c)
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

// capacityCommand returns the command that measures the figures docs/CAPACITY.md is
// calculated from.
func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure control traffic, lookups, forwarding and payment claims, and print the tables of the capacity page",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of random choices"},
			&cli.StringFlag{Name: "page", Usage: "replace the marked tables in `FILE`; if empty, print the tables"},
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
			updated, err := measure.Rewrite(string(data), tables)
			if err != nil {
				return err
			}
			return os.WriteFile(page, []byte(updated), 0o644)
		},
	}
}

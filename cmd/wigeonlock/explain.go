package main

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/wigeonlock/wigeonlock/explain"
)

var errNotFound = errors.New("no log line for the request")

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the timeline of a request from the logs of instances",
		ArgsUsage: "ID FILE...",
		Description: "Prints the decisions made for the request in order of time and, indented, the condition\n" +
			"of its workers, the store and the configuration as its instances logged it at that time.\n" +
			"The exit code is 1 if there is no log line for the request.",
		Action: runExplain,
	}
}

func runExplain(_ context.Context, c *cli.Command) error {
	args := c.Args().Slice()
	if len(args) < 2 {
		return usage("explain needs a request id and at least one log file")
	}
	progress := progressTo(c.Root().ErrWriter)
	timeline, err := explain.Read(args[0], args[1:], func(lines int) { progress(fmt.Sprintf("%d lines", lines)) })
	if err != nil {
		return err
	}
	if err := timeline.Print(c.Root().Writer); err != nil {
		return err
	}
	if len(timeline.Decisions) == 0 {
		return errNotFound
	}
	return nil
}

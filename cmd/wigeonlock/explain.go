package main

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/wigeonlock/wigeonlock/explain"
)

var errNotFound = errors.New("the logs tell nothing of the request")

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell the story of a request from the logs of instances",
		ArgsUsage: "ID FILE...",
		Description: "Prints in order of time what was decided for the request and, indented, what the\n" +
			"instances came to believe of its workers, the store and the configuration around it.\n" +
			"Exit code 1 if no line tells of the request.",
		Action: runExplain,
	}
}

func runExplain(_ context.Context, c *cli.Command) error {
	args := c.Args().Slice()
	if len(args) < 2 {
		return usage("explain takes a request's id and at least one log")
	}
	tell := progressTo(c.Root().ErrWriter)
	story, err := explain.Read(args[0], args[1:], func(lines int) { tell(fmt.Sprintf("%d lines", lines)) })
	if err != nil {
		return err
	}
	if err := story.Print(c.Root().Writer); err != nil {
		return err
	}
	if len(story.Decisions) == 0 {
		return errNotFound
	}
	return nil
}

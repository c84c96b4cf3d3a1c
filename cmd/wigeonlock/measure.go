package main

import (
	"github.com/urfave/cli/v3"
)

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:     "measure",
		Usage:    "measure a part of the system on this machine",
		Commands: []*cli.Command{},
	}
}

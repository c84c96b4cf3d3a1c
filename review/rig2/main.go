//go:build review

package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// _longest is the longest time of a play.
const _longest = 110 * time.Second

var _cases = map[string]func(binary, record string, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 4 || _cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE BINARY RECORD")
		os.Exit(2)
	}
	// A play that takes too long ends as by a signal: its processes are ended, and it could not run.
	time.AfterFunc(_longest, func() { _ = syscall.Kill(os.Getpid(), syscall.SIGTERM) })
	broken, err := _cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

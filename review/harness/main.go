// Command harness plays the script cases of the review. It starts the sidecars of
// a small deployment as processes on loopback addresses, with stand-ins for the
// platform's store, the servers and the consumers, and judges one rule.
//
// Exit code 0: the rule held; 1: it was broken; 2: the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// play runs a case; it returns how often the rule was broken.
type play func(f *fleet, trouble bool) (int, error)

var cases = map[string]play{
	"large-body":  playLargeBody,
	"late-copy":   playLateCopy,
	"lost-leave":  playLostLeave,
	"second-life": playSecondLife,
	"store-drill": playStoreDrill,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(p play, dir string) int {
	root, err := os.Getwd()
	if err != nil {
		return cannotRun(err)
	}
	rec, err := newRecorder(filepath.Join(root, dir))
	if err != nil {
		return cannotRun(err)
	}
	f, err := newFleet(rec, root)
	if err != nil {
		return cannotRun(err)
	}
	defer f.close()
	broken, err := p(f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		return cannotRun(err)
	}
	if broken > 0 {
		return 1
	}
	return 0
}

func cannotRun(err error) int {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return 2
}

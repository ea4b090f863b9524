// Command standins-2 plays the cases of the second review: it starts the project's
// own programs, and stands in for the platform, the servers and the consumers.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// longestRun is the longest that a case may take.
const longestRun = 110 * time.Second

type setup struct {
	root    string
	record  string
	trouble bool
}

var cases = map[string]func(setup) (broken bool, err error){
	"slow-reader":           slowReader,
	"crashes-counted-again": crashesCountedAgain,
	"answers-cut":           answersCut,
	"checkin-crash":         checkinCrash,
	"left-orders":           leftOrders,
	"silent-proof":          silentProof,
	"long-grace":            longGraceStop,
}

func main() {
	root := flag.String("root", ".", "the repository")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "there is no case", flag.Arg(0))
		os.Exit(exitFailed)
	}
	time.AfterFunc(longestRun, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		os.Exit(exitFailed) // The processes that it started end with it.
	})
	broken, err := play(setup{root: *root, record: *record, trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitFailed)
	case broken:
		fmt.Println("the rule is broken")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule holds")
	os.Exit(exitHeld)
}

// Command harness plays one case of the review: it starts daemons as separate processes between stand-ins of the
// platform's store, its workers and its clients, and checks one rule by what those have seen.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit ends a case that hangs.
const runLimit = 110 * time.Second

// verdict is the result of a case that could be played.
type verdict struct {
	broken bool
	reason string
}

// cases holds the cases by the name of their folder.
var cases = map[string]func(ctx context.Context, d *deployment, trouble bool) (verdict, error){
	"1": lostMachine,
	"2": jobOfManyItems,
	"3": jobsOfTwoTenants,
	"4": plannedStop,
	"5": bytesWithoutEnd,
}

func main() {
	os.Exit(play())
}

func play() int {
	const arguments = 3
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return exitNotRun
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, cancelLimit := context.WithTimeout(ctx, runLimit)
	defer cancelLimit()
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case %s, disruption: %v", os.Args[1], trouble)
	d, err := newDeployment(record)
	if err != nil {
		record.note("not run: %v", err)
		return exitNotRun
	}
	defer d.stop()
	v, err := cases[os.Args[1]](ctx, d, trouble)
	if err = errors.Join(err, ctx.Err(), d.unexpectedExit()); err != nil {
		record.note("not run: %v", err)
		return exitNotRun
	}
	if v.broken {
		record.note("BROKEN: %s", v.reason)
		return exitBroken
	}
	record.note("held: %s", v.reason)
	return exitHeld
}

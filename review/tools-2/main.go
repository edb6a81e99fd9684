package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes of a script.
const (
	exitHeld       = 0
	exitBroken     = 1
	exitUnplayable = 2
)

// cases are the scripts by name. They return what was broken, "" if nothing was.
var cases = map[string]func(d *deployment, trouble bool) (broken string, err error){
	"full-store":      fullStore,
	"large-results":   largeResults,
	"removed-route":   removedRoute,
	"failing-item":    failingItem,
	"restored-tenant": restoredTenant,
	"silent-store":    silentStore,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD")
		os.Exit(exitUnplayable)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(played func(d *deployment, trouble bool) (string, error), recordFile string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 115*time.Second)
	defer cancel()
	d, err := newDeployment(ctx, recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnplayable
	}
	defer d.stop()
	broken, err := played(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		d.record.add("not played: %v", errors.Join(errUnplayable, err))
		fmt.Println("not played:", err)
		return exitUnplayable
	case broken != "":
		d.record.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	d.record.add("held")
	fmt.Println("held")
	return exitHeld
}

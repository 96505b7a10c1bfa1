package rig

import (
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

// caseLimit is the longest time that a case may take.
const caseLimit = 115 * time.Second

// Case plays a case on a new fleet, with its disruption or without it, and reports whether the rule was broken. It returns an error if
// the case could not be played.
type Case func(f *Fleet, trouble bool) (broken bool, err error)

// Main runs a case and exits. The argument of the program is the folder of the case; without the disruption if TROUBLE is 0.
func Main(c Case) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(c, os.Args[1], os.Getenv("TROUBLE") != "0"))
}

func run(c Case, folder string, trouble bool) int {
	r, err := NewRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.Close()
	f, err := NewFleet(r)
	if err != nil {
		return report(r, exitNotRun, "not run: "+err.Error())
	}
	defer f.Close()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := c(f, trouble)
		done <- outcome{broken, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-stopped:
		return report(r, exitNotRun, "not run: the case was stopped")
	case o := <-done:
		switch {
		case o.err != nil:
			return report(r, exitNotRun, "not run: "+o.err.Error())
		case o.broken:
			return report(r, exitBroken, "the rule was broken")
		}
		return report(r, exitHeld, "the rule held")
	case <-time.After(caseLimit):
		return report(r, exitNotRun, "not run: the case took too long")
	}
}

func report(r *Record, code int, text string) int {
	r.Printf("%s", text)
	fmt.Println(text)
	return code
}

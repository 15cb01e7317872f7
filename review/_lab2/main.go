package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxLength is how long a case may take.
const maxLength = 110 * time.Second

// verbose makes the record hold each request.
var verbose = true

// The results of a case, as exit statuses.
const (
	held     = 0
	broken   = 1
	unplayed = 2
)

// cases are the cases by name. trouble is false if the case is to be played without its disruption.
var cases = map[string]func(rec *record, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(unplayed)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unplayed)
	}
	rec := &record{file: file, start: time.Now()}
	go giveUp(rec)
	result, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.logf("the case could not be played: %v", err)
		fmt.Println(err)
		result = unplayed
	}
	rec.logf("result %d", result)
	fmt.Println([]string{"the rule held", "THE RULE IS BROKEN", "the case could not be played"}[result])
	os.Exit(result)
}

// giveUp ends all processes and this one after maxLength, or on a signal.
func giveUp(rec *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxLength):
	}
	endAll()
	rec.logf("given up")
	os.Exit(unplayed)
}

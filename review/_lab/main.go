// Command lab plays one case of the review: the fleet's own program as separate processes on loopback addresses, with
// stand-ins for servers, clients, the operator and the platform. It exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// The exit statuses.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// scene is what a case has.
type scene struct {
	dir     string // temporary folder
	command []string
	trouble bool // whether the disruption takes place
	log     *record
}

var cases = map[string]func(*scene) (broken int, err error){
	"leave": playLeave,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	log, err := openRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("folder:", dir)
	}
	command, err := deployedCommand("deploy/system.toml")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := cases[name](&scene{dir: dir, command: command, trouble: os.Getenv("TROUBLE") != "0", log: log})
	if err != nil {
		log.event("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if broken > 0 {
		log.event("verdict: the rule was broken, %d times", broken)
		fmt.Printf("broken: %d times\n", broken)
		return exitBroken
	}
	log.event("verdict: the rule held")
	fmt.Println("held")
	return exitHeld
}

// deployedCommand returns the command of the role in a deploy file.
func deployedCommand(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("%s names no command", path)
}

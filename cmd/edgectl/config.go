package main

import (
	"encoding/json"
	"io"
	"os"
	"strings"

	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
)

type putCommand struct {
	File    string `name:"file" arg:"" help:"JSON, or TOML where the name ends in .toml; - reads JSON from standard input."`
	IfMatch *int64 `name:"if-match" help:"The revision that it was made for, 0 for the first; without it the current one is read." placeholder:"N"`
}

// Run submits a complete configuration.
func (c *putCommand) Run(s *session) error { return s.submit(false, c.File, c.IfMatch) }

type patchCommand struct {
	File    string `name:"file" arg:"" help:"JSON, or TOML where the name ends in .toml; - reads JSON from standard input."`
	IfMatch *int64 `name:"if-match" help:"The revision that it was made for; without it the current one is read." placeholder:"N"`
}

// Run submits a change of named items.
func (c *patchCommand) Run(s *session) error { return s.submit(true, c.File, c.IfMatch) }

// submitOutput is the form of a committed submission with --json.
type submitOutput struct {
	On       int64 `json:"on"`
	Revision int64 `json:"revision"`
}

func (s *session) submit(patch bool, file string, ifMatch *int64) error {
	body, err := s.readDocument(file)
	if err != nil {
		return err
	}
	client, err := s.client()
	if err != nil {
		return err
	}
	var base int64
	if ifMatch != nil {
		base = *ifMatch
	} else {
		_, base, err = client.Config(s.ctx)
		first := !patch && apierror.KindOf(err) == apierror.NotFound
		if err != nil && !first {
			return err
		}
	}
	revision, err := client.Submit(s.ctx, patch, base, body)
	if err != nil {
		return err
	}
	return s.printResult(submitOutput{On: base, Revision: revision}, "revision %d is taken, on top of %d", revision, base)
}

type getCommand struct{}

// Run prints the newest configuration.
func (getCommand) Run(s *session) error {
	raw, err := s.currentConfig()
	if err != nil {
		return err
	}
	_, err = s.stdout.Write(append(raw, '\n'))
	return err
}

func (s *session) currentConfig() ([]byte, error) {
	client, err := s.client()
	if err != nil {
		return nil, err
	}
	raw, _, err := client.Config(s.ctx)
	return raw, err
}

type checkCommand struct {
	File  string `name:"file" arg:"" help:"JSON, or TOML where the name ends in .toml; - reads JSON from standard input."`
	Patch bool   `name:"patch" help:"The file is a change of named items."`
	On    string `name:"on" help:"File with the configuration that it changes; without it a change is validated on the agents' current one." placeholder:"FILE"`
}

// checkOutput is the form of a valid configuration with --json.
type checkOutput struct {
	Revision int64 `json:"revision"`
	Routes   int   `json:"routes"`
	Services int   `json:"services"`
}

// Run reports that a file is valid, or the first thing that is wrong.
func (c *checkCommand) Run(s *session) error {
	body, err := s.readDocument(c.File)
	if err != nil {
		return err
	}
	current, err := c.currentConfig(s)
	if err != nil {
		return err
	}
	next, revision, err := config.Apply(current, c.Patch, body)
	if err != nil {
		return apierror.PrefixKey(err, c.File)
	}
	document, err := config.Parse(next)
	if err != nil {
		return err
	}
	output := checkOutput{Revision: revision, Routes: len(document.Routes), Services: len(document.Services)}
	return s.printResult(output, "%s is sound: revision %d, routes: %d, services: %d", c.File, output.Revision, output.Routes, output.Services)
}

// currentConfig returns the configuration that the file changes, nil if it is a complete one.
func (c *checkCommand) currentConfig(s *session) ([]byte, error) {
	switch {
	case c.On != "":
		return s.readDocument(c.On)
	case c.Patch:
		return s.currentConfig()
	}
	return nil, nil
}

// readDocument reads an operator's file, or standard input for "-", as JSON. JSON keeps its bytes.
func (s *session) readDocument(name string) ([]byte, error) {
	raw, err := s.readInput(name)
	if err != nil || !strings.HasSuffix(name, ".toml") {
		return raw, err
	}
	k := koanf.New("\x00") // a delimiter that no key has: names may have dots
	if err := k.Load(rawbytes.Provider(raw), toml.Parser()); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, name, "write it as TOML")
	}
	if raw, err = json.Marshal(k.Raw()); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, name, "use what JSON has too")
	}
	return raw, nil
}

// readInput reads one byte more than a configuration may have, at most.
func (s *session) readInput(name string) ([]byte, error) {
	input := s.stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, apierror.Wrap(err, apierror.Internal, "", "name a file that can be read")
		}
		defer file.Close()
		input = file
	}
	raw, err := io.ReadAll(io.LimitReader(input, config.MaxDocument+1))
	return raw, apierror.Wrap(err, apierror.Internal, name, "name a file that can be read")
}

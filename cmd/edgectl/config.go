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
	IfMatch *int64 `name:"if-match" help:"The revision that the configuration replaces, 0 for the first one; by default the current revision is read." placeholder:"N"`
}

// Run submits a complete configuration.
func (c *putCommand) Run(s *session) error { return s.submit(false, c.File, c.IfMatch) }

type patchCommand struct {
	File    string `name:"file" arg:"" help:"JSON, or TOML where the name ends in .toml; - reads JSON from standard input."`
	IfMatch *int64 `name:"if-match" help:"The revision that the change was made for; by default the current revision is read." placeholder:"N"`
}

// Run submits a change of named items.
func (c *patchCommand) Run(s *session) error { return s.submit(true, c.File, c.IfMatch) }

// submitOutput is the output for a committed submission with --json.
type submitOutput struct {
	On       int64 `json:"on"`
	Revision int64 `json:"revision"`
}

// submit submits a configuration or, with patch, a change of named items. If ifMatch is nil, the change is made
// for the current revision.
func (s *session) submit(patch bool, file string, ifMatch *int64) error {
	body, err := s.readDocument(file)
	if err != nil {
		return err
	}
	client, err := s.client()
	if err != nil {
		return err
	}
	var baseRevision int64
	if ifMatch != nil {
		baseRevision = *ifMatch
	} else {
		_, baseRevision, err = client.Config(s.ctx)
		isFirst := !patch && apierror.KindOf(err) == apierror.NotFound
		if err != nil && !isFirst {
			return err
		}
	}
	revision, err := client.Submit(s.ctx, patch, baseRevision, body)
	if err != nil {
		return err
	}
	return s.printResult(submitOutput{On: baseRevision, Revision: revision},
		"revision %d is taken, on top of %d", revision, baseRevision)
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

// currentConfig returns the newest configuration of the fleet, as it was submitted.
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
	On    string `name:"on" help:"File with the current configuration to validate against; by default a change is validated against the agents' current configuration." placeholder:"FILE"`
}

// checkOutput is the output for a valid configuration with --json.
type checkOutput struct {
	Revision int64 `json:"revision"`
	Routes   int   `json:"routes"`
	Services int   `json:"services"`
}

// Run validates a file. It prints a summary if the file is valid, and returns the first error otherwise.
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
	return s.printResult(output, "%s is sound: revision %d, routes: %d, services: %d",
		c.File, output.Revision, output.Routes, output.Services)
}

// currentConfig returns the configuration to validate the file against: the one in the file of --on, or the
// fleet's newest configuration for a change. It is nil for a complete configuration without --on.
func (c *checkCommand) currentConfig(s *session) ([]byte, error) {
	switch {
	case c.On != "":
		return s.readDocument(c.On)
	case c.Patch:
		return s.currentConfig()
	}
	return nil, nil
}

// readDocument reads an operator's file, or standard input if name is "-", and returns it as JSON. TOML is
// converted, JSON is returned byte for byte.
func (s *session) readDocument(name string) ([]byte, error) {
	raw, err := s.readInput(name)
	if err != nil || !strings.HasSuffix(name, ".toml") {
		return raw, err
	}
	k := koanf.New("\x00") // a delimiter that no key contains: names may contain dots
	if err := k.Load(rawbytes.Provider(raw), toml.Parser()); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, name, "write it as TOML")
	}
	if raw, err = json.Marshal(k.Raw()); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, name, "use only values that JSON can represent")
	}
	return raw, nil
}

// readInput reads a file, or standard input if name is "-". It reads at most one byte more than the maximum size
// of a configuration, so that larger input is still rejected as too large.
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

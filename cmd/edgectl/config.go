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

// readDocument reads an operator's file as JSON. JSON stays byte for byte.
func (s *session) readDocument(name string) ([]byte, error) {
	from := s.stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, apierror.Wrap(err, apierror.Internal, "", "name a file that can be read")
		}
		defer f.Close()
		from = f
	}
	raw, err := io.ReadAll(io.LimitReader(from, config.MaxDocument+1))
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Internal, name, "name a file that can be read")
	}
	if !strings.HasSuffix(name, ".toml") {
		return raw, nil
	}
	k := koanf.New("\x00") // names may hold dots
	if err := k.Load(rawbytes.Provider(raw), toml.Parser()); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, name, "write it as TOML")
	}
	if raw, err = json.Marshal(k.Raw()); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, name, "use what JSON has too")
	}
	return raw, nil
}

type putCommand struct {
	File    string `name:"file" arg:"" help:"JSON, or TOML where the name ends in .toml; - reads JSON from standard input."`
	IfMatch *int64 `name:"if-match" help:"The version that it builds on, 0 for the first; without it the current one is read." placeholder:"N"`
}

// Run sends a whole configuration.
func (c *putCommand) Run(s *session) error { return s.submit(false, c.File, c.IfMatch) }

type patchCommand struct {
	File    string `name:"file" arg:"" help:"JSON, or TOML where the name ends in .toml; - reads JSON from standard input."`
	IfMatch *int64 `name:"if-match" help:"The version that it builds on; without it the current one is read." placeholder:"N"`
}

// Run sends a change of items.
func (c *patchCommand) Run(s *session) error { return s.submit(true, c.File, c.IfMatch) }

func (s *session) submit(patch bool, file string, ifMatch *int64) error {
	body, err := s.readDocument(file)
	if err != nil {
		return err
	}
	agents, err := s.client()
	if err != nil {
		return err
	}
	var base int64
	if ifMatch != nil {
		base = *ifMatch
	} else if _, base, err = agents.Config(s.ctx); err != nil && (patch || apierror.KindOf(err) != apierror.NotFound) {
		return err
	}
	rev, err := agents.Submit(s.ctx, patch, base, body)
	if err != nil {
		return err
	}
	return s.printResult(map[string]int64{"revision": rev, "on": base}, "revision %d is taken, on top of %d", rev, base)
}

type getCommand struct{}

// Run prints the configuration.
func (getCommand) Run(s *session) error {
	raw, err := s.currentConfig()
	if err != nil {
		return err
	}
	_, err = s.stdout.Write(append(raw, '\n'))
	return err
}

func (s *session) currentConfig() ([]byte, error) {
	agents, err := s.client()
	if err != nil {
		return nil, err
	}
	raw, _, err := agents.Config(s.ctx)
	return raw, err
}

type checkCommand struct {
	File  string `name:"file" arg:"" help:"JSON, or TOML where the name ends in .toml; - reads JSON from standard input."`
	Patch bool   `name:"patch" help:"The file is a change of named items."`
	On    string `name:"on" help:"File with the configuration that it builds on; a change is checked on the agents' current one without it." placeholder:"FILE"`
}

// Run says that a file is sound, or what is wrong with it first.
func (c *checkCommand) Run(s *session) error {
	body, err := s.readDocument(c.File)
	if err != nil {
		return err
	}
	var base []byte
	switch {
	case c.On != "":
		base, err = s.readDocument(c.On)
	case c.Patch:
		base, err = s.currentConfig()
	}
	if err != nil {
		return err
	}
	next, rev, err := config.Apply(base, c.Patch, body)
	if err != nil {
		return apierror.PrefixKey(err, c.File)
	}
	d, err := config.Parse(next)
	if err != nil {
		return err
	}
	return s.printResult(map[string]any{"revision": rev, "routes": len(d.Routes), "services": len(d.Services)},
		"%s is sound: revision %d, routes: %d, services: %d", c.File, rev, len(d.Routes), len(d.Services))
}

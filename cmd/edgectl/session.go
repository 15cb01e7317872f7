package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/controlapi"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// session holds the flags, context and streams of one command.
type session struct {
	*cli
	ctx    context.Context // expires after --timeout
	stdin  io.Reader
	stdout io.Writer
}

// agentAddresses returns the control addresses to call: those given with --agent, otherwise that of the
// machine itself and those of its seeds. It returns an error if there is none.
func (s *session) agentAddresses() ([]string, error) {
	if len(s.Agent) > 0 {
		return s.Agent, nil
	}
	loaded, err := settings.Load(settings.Path())
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Internal, "--agent", "name an agent's control address")
	}
	var addresses []string
	for _, address := range append([]string{loaded.Listen.Control}, loaded.Seeds...) {
		if address != "" && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		return nil, apierror.New(apierror.Internal, "--agent", "name an agent's control address",
			"the settings file names none")
	}
	return addresses, nil
}

// client returns a client of the agents at agentAddresses.
func (s *session) client() (*controlapi.Client, error) {
	addresses, err := s.agentAddresses()
	if err != nil {
		return nil, err
	}
	return controlapi.NewClient(addresses), nil
}

// printResult prints value as JSON with --json, otherwise the formatted text.
func (s *session) printResult(value any, format string, args ...any) error {
	if s.JSON {
		return json.NewEncoder(s.stdout).Encode(value)
	}
	_, err := fmt.Fprintf(s.stdout, format+"\n", args...)
	return err
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/alecthomas/kong"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/controlapi"
)

type inspectCommand struct {
	Each bool `name:"each" help:"Call each agent, and print the answer of each."`
}

// Run prints the resource with the name of the command: as the first agent to answer returns it or, with
// --each, as each agent returns it.
func (c *inspectCommand) Run(s *session, command *kong.Context) error {
	addresses, err := s.agentAddresses()
	if err != nil {
		return err
	}
	resource := command.Command()
	if c.Each {
		return s.inspectEach(addresses, resource)
	}
	answer, err := controlapi.NewClient(addresses).Inspect(s.ctx, resource)
	if err != nil {
		return err
	}
	return s.printAnswer(answer)
}

// inspectEach prints the answers of all agents. For an agent that fails it prints the error, and it returns
// the last such error.
func (s *session) inspectEach(addresses []string, resource string) error {
	var lastErr error
	for _, address := range addresses {
		answer, err := controlapi.NewClient([]string{address}).Inspect(s.ctx, resource)
		if err != nil {
			lastErr = err
			answer, _ = json.Marshal(map[string]string{"error": err.Error()}) // encoding a map of strings never fails
		}
		if err := s.printAnswerOf(address, resource, answer); err != nil {
			return err
		}
	}
	return lastErr
}

// printAnswerOf prints the answer of one of several agents with its address. With --json it prints one line.
func (s *session) printAnswerOf(address, resource string, answer []byte) error {
	if s.JSON {
		return json.NewEncoder(s.stdout).Encode(map[string]any{"agent": address, resource: json.RawMessage(answer)})
	}
	if _, err := fmt.Fprintf(s.stdout, "# %s\n", address); err != nil {
		return err
	}
	return s.printAnswer(answer)
}

// printAnswer prints an agent's answer: unchanged with --json, otherwise as tables.
func (s *session) printAnswer(answer []byte) error {
	if s.JSON {
		_, err := s.stdout.Write(append(bytes.TrimSpace(answer), '\n'))
		return err
	}
	value, err := decodeOrdered(answer)
	if err != nil {
		return apierror.Wrap(err, apierror.Unavailable, "", "ask another agent, or use --json")
	}
	return render(s.stdout, value, "")
}

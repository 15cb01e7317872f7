package main

import (
	"encoding/json"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/store"
)

type verifyCommand struct {
	Dir string `name:"dir" arg:"" help:"The state-dir of the agent." type:"existingdir"`
}

// Run prints a report on the state in a directory, and returns an error of kind Corrupted if the state is
// damaged.
func (c *verifyCommand) Run(s *session) error {
	report, err := store.Verify(c.Dir)
	if err != nil {
		return apierror.Wrap(err, apierror.Internal, c.Dir, "name a folder that can be read")
	}
	raw, err := json.Marshal(report)
	if err != nil {
		return err
	}
	if err := s.printAnswer(raw); err != nil {
		return err
	}
	if report.Damaged {
		return apierror.New(apierror.Corrupted, c.Dir,
			"start the agent: it sets the file aside and copies the state from the other members", "%s", report.Reason)
	}
	return nil
}

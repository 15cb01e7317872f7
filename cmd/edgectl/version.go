package main

import (
	"chalkdoor.example/chalkdoor/internal/buildinfo"
	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

type versionCommand struct{}

// versionOutput is the output for the version with --json.
type versionOutput struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"` // of version control; empty if unknown
	Go       string `json:"go"`
}

// Run prints the version of the build.
func (versionCommand) Run(s *session) error {
	info, ok := buildinfo.Read()
	if !ok {
		return apierror.New(apierror.Internal, "", "build it with modules", "this build has no version")
	}
	output := versionOutput{Version: info.Version, Revision: info.Revision, Go: info.Go}
	return s.printResult(output, "edgectl %s %s %s", output.Version, output.Revision, output.Go)
}

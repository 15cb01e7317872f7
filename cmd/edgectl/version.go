package main

import (
	"runtime/debug"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

type versionCommand struct{}

// versionOutput is the form of the version with --json.
type versionOutput struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"` // of version control
	Go       string `json:"go"`
}

// Run prints the version of the build.
func (versionCommand) Run(s *session) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return apierror.New(apierror.Internal, "", "build it with modules", "this build has no version")
	}
	output := versionOutput{Version: info.Main.Version, Go: info.GoVersion}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			output.Revision = setting.Value
		}
	}
	return s.printResult(output, "edgectl %s %s %s", output.Version, output.Revision, output.Go)
}

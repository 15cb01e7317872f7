// Package buildinfo returns the version of the running program, as the Go toolchain embeds it.
package buildinfo

import "runtime/debug"

// Info is the version of a build.
type Info struct {
	Version  string // version of the main module
	Revision string // version control revision of the sources; "" if unknown
	Modified bool   // whether the source tree had uncommitted changes
	Go       string // version of the Go toolchain
}

// Read returns the version of the running program. ok is false if it was built without modules.
func Read() (info Info, ok bool) {
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return Info{}, false
	}
	return fromBuild(build), true
}

func fromBuild(build *debug.BuildInfo) Info {
	info := Info{Version: build.Main.Version, Go: build.GoVersion}
	for _, setting := range build.Settings {
		switch setting.Key {
		case "vcs.revision":
			info.Revision = setting.Value
		case "vcs.modified":
			info.Modified = setting.Value == "true"
		}
	}
	return info
}

package buildinfo

import (
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRead(t *testing.T) {
	info, ok := Read()
	require.True(t, ok)
	require.Equal(t, runtime.Version(), info.Go)
}

func TestFromBuild(t *testing.T) {
	build := &debug.BuildInfo{GoVersion: "go1.26", Main: debug.Module{Version: "v1.2.3"}}
	require.Equal(t, Info{Version: "v1.2.3", Go: "go1.26"}, fromBuild(build))
	build.Settings = []debug.BuildSetting{{Key: "vcs.revision", Value: "abc"}, {Key: "vcs.modified", Value: "true"}, {Key: "other", Value: "x"}}
	require.Equal(t, Info{Version: "v1.2.3", Revision: "abc", Modified: true, Go: "go1.26"}, fromBuild(build))
}

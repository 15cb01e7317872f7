// Package experiments embeds the experiments of the laboratory, so that its command needs no other
// files.
package experiments

import "embed"

// Files are the experiment files.
//
//go:embed *.toml
var Files embed.FS

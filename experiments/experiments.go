// Package experiments holds the experiments of the laboratory, so that its command needs no
// file beside it.
package experiments

import "embed"

// Files are the experiment files.
//
//go:embed *.toml
var Files embed.FS

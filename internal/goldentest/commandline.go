package goldentest

import (
	"fmt"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"
)

// commandLineFile is the golden file of a program's command line.
const commandLineFile = "commandline.txt"

// CommandLine compares the commands, arguments and flags of a program with their golden file. It leaves
// out the help texts.
func CommandLine(t *testing.T, grammar any, options ...kong.Option) {
	t.Helper()
	parser, err := kong.New(grammar, options...)
	require.NoError(t, err)
	var b strings.Builder
	describe(&b, parser.Model.Node, "program")
	File(t, commandLineFile, []byte(b.String()))
}

// describe writes a command with its path, and then its subcommands.
func describe(b *strings.Builder, command *kong.Node, path string) {
	b.WriteString(path)
	if command.Hidden {
		b.WriteString(" hidden")
	}
	if command.DefaultCmd != nil {
		fmt.Fprintf(b, " default=%s", command.DefaultCmd.Name)
	}
	fmt.Fprintf(b, " aliases=%q\n", command.Aliases)
	for _, argument := range command.Positional {
		fmt.Fprintf(b, "  %s required=%t default=%q\n", argument.Summary(), argument.Required, argument.Default)
	}
	for _, flag := range command.Flags {
		fmt.Fprintf(b, "  %s required=%t default=%q enum=%q env=%q aliases=%q hidden=%t\n",
			flag, flag.Required, flag.Default, flag.Enum, flag.Envs, flag.Aliases, flag.Hidden)
	}
	for _, child := range command.Children {
		describe(b, child, path+" "+child.Name)
	}
}

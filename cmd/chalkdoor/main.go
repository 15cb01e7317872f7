// Command chalkdoor is one agent: it takes requests from the application beside it and
// places them on backends, as the decision module says. Without arguments it is the agent
// as the platform starts it; its subcommands are for operators.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"chalkdoor.example/chalkdoor/internal/agent"
	"chalkdoor.example/chalkdoor/internal/agent/opsconfig"
)

// Exit statuses: what failed is not what was called wrongly.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	if len(os.Args) == 1 && os.Getenv("COMP_LINE") == "" {
		// As the platform starts it: nothing but the agent is needed, so nothing else is set up.
		if err := serve(""); err != nil {
			fmt.Fprintln(os.Stderr, "chalkdoor:", err)
			os.Exit(exitFailed)
		}
		return
	}
	os.Exit(command(os.Args[1:], os.Stdout, os.Stderr))
}

type cli struct {
	Agent      agentCmd                     `name:"agent" cmd:"" help:"Run the agent, as without arguments, with an operations file."`
	Check      checkCmd                     `name:"check" cmd:"" help:"Check an operations file (.toml) or a configuration of the platform (.json), and say by key what is wrong."`
	State      stateCmd                     `name:"state" cmd:"" help:"Look at what an agent keeps on disk."`
	Example    exampleCmd                   `name:"example" cmd:"" help:"Print an operations file with every key, its default and what it is for."`
	Version    versionCmd                   `name:"version" cmd:"" help:"Print the version."`
	Completion kongplete.InstallCompletions `name:"completion" cmd:"" help:"Print the lines that set up completion in your shell."`
}

const description = `One agent of the fleet: it takes the requests of the application beside it over HTTP/1.1, places each on a report server that discovery lists, and gives every request exactly one final answer.

Without a command it is the agent as the platform starts it: PROXY_CONFIG names the configuration, and PROXY_NAME, PROXY_LISTEN and PROXY_DISCOVERY win over what that says. SIGHUP reads the configuration and the operations file again; SIGTERM ends the agent once what it holds is answered.`

// command runs a subcommand and returns the exit status.
func command(args []string, stdout, stderr io.Writer) (status int) {
	var c cli
	ended := -1
	parser, err := kong.New(&c, kong.Name("chalkdoor"), kong.Description(description),
		kong.Writers(stdout, stderr), kong.Exit(func(code int) { ended = code }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.BindTo(stdout, (*io.Writer)(nil)))
	if err != nil {
		fmt.Fprintln(stderr, "chalkdoor:", err)
		return exitFailed
	}
	kongplete.Complete(parser)
	ctx, err := parser.Parse(args)
	if ended >= 0 { // help was asked for
		return ended
	}
	if err != nil {
		fmt.Fprintf(stderr, "chalkdoor: %v\nTry chalkdoor --help.\n", err)
		return exitUsage
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(stderr, "chalkdoor:", err)
		return exitFailed
	}
	return 0
}

type agentCmd struct {
	Ops string `name:"ops" help:"The operations file." type:"path" placeholder:"FILE"`
}

// Run serves until SIGTERM.
func (a *agentCmd) Run() error { return serve(a.Ops) }

type checkCmd struct {
	File string `name:"file" arg:"" help:"The file." type:"path"`
}

// Run says that a file is sound, or all that is wrong with it.
func (c *checkCmd) Run(out io.Writer) error {
	if !strings.HasSuffix(c.File, ".json") {
		if _, err := opsconfig.Load(c.File); err != nil {
			return err
		}
		_, err := fmt.Fprintf(out, "%s: a sound operations file\n", c.File)
		return err
	}
	cfg, err := agent.LoadConfig(func(name string) string { return map[string]string{"PROXY_CONFIG": c.File}[name] })
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	_, err = fmt.Fprintf(out, "%s: a sound configuration of agent %s: %d classes, %d tenants, %d servers known, %d agents in all\n", c.File,
		cfg.Name, len(cfg.Settings.Classes), len(cfg.Settings.Tenants), len(cfg.InitialList.Servers), cfg.Settings.AgentCount)
	return err
}

type exampleCmd struct{}

// Run prints the example.
func (exampleCmd) Run(out io.Writer) error { return opsconfig.Example(out) }

type versionCmd struct{}

// Run prints what the build knows of itself.
func (versionCmd) Run(out io.Writer) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("this build knows nothing of itself")
	}
	about := map[string]string{}
	for _, s := range info.Settings {
		about[s.Key] = s.Value
	}
	text := "chalkdoor " + info.Main.Version
	if r := about["vcs.revision"]; r != "" {
		text += " " + r
		if about["vcs.modified"] == "true" {
			text += " modified"
		}
	}
	_, err := fmt.Fprintln(out, text, info.GoVersion)
	return err
}

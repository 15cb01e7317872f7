// Command chalkdoor is one agent of the fleet. It accepts requests from the application beside it and sends
// them to the backends that package policy chooses. Without arguments it runs the agent, which is how the
// platform starts it. Its subcommands are for operators.
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

// The exit statuses other than 0.
const (
	exitFailed = 1
	exitUsage  = 2 // the command line is invalid
)

func main() {
	if len(os.Args) == 1 && os.Getenv("COMP_LINE") == "" {
		// The platform starts the program like this. No command line is parsed, so no parser is built.
		if err := serve(""); err != nil {
			fmt.Fprintln(os.Stderr, "chalkdoor:", err)
			os.Exit(exitFailed)
		}
		return
	}
	os.Exit(command(os.Args[1:], os.Stdout, os.Stderr))
}

type cli struct {
	Agent      agentCmd                     `name:"agent" cmd:"" help:"Run the agent, optionally with an operations file."`
	Check      checkCmd                     `name:"check" cmd:"" help:"Check an operations file (.toml) or a configuration of the platform (.json), and name the invalid keys."`
	State      stateCmd                     `name:"state" cmd:"" help:"Inspect or repair the state that an agent has stored on disk."`
	Example    exampleCmd                   `name:"example" cmd:"" help:"Print an operations file with every key, its default and its description."`
	Version    versionCmd                   `name:"version" cmd:"" help:"Print the version."`
	Completion kongplete.InstallCompletions `name:"completion" cmd:"" help:"Print the lines that set up completion in your shell."`
}

// description is the introduction of the program's help.
const description = `One agent of the fleet. It accepts requests from the application beside it over HTTP/1.1, sends each to a server that discovery lists, and gives every request exactly one final answer.

Without a command it runs the agent, which is how the platform starts it. PROXY_CONFIG names the configuration file; PROXY_NAME, PROXY_LISTEN and PROXY_DISCOVERY take precedence over the values in it. SIGHUP reloads the configuration and the operations file. SIGTERM ends the agent once all pending requests are answered.`

// command runs a subcommand and returns the exit status.
func command(args []string, stdout, stderr io.Writer) (status int) {
	var c cli
	exitStatus := -1
	parser, err := kong.New(&c, kong.Name("chalkdoor"), kong.Description(description),
		kong.Writers(stdout, stderr), kong.Exit(func(code int) { exitStatus = code }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.BindTo(stdout, (*io.Writer)(nil)))
	if err != nil {
		fmt.Fprintln(stderr, "chalkdoor:", err)
		return exitFailed
	}
	kongplete.Complete(parser)
	ctx, err := parser.Parse(args)
	if exitStatus >= 0 { // the parser has printed the help
		return exitStatus
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

// Run runs the agent until SIGTERM.
func (a *agentCmd) Run() error { return serve(a.Ops) }

type checkCmd struct {
	File string `name:"file" arg:"" help:"The file." type:"path"`
}

// Run prints that the file is valid, or returns an error that names its invalid keys.
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
	_, err = fmt.Fprintf(out,
		"%s: a sound configuration of agent %s: %d classes, %d tenants, %d servers known, %d agents in all\n",
		c.File, cfg.Name, len(cfg.Settings.Classes), len(cfg.Settings.Tenants), len(cfg.InitialList.Servers),
		cfg.Settings.AgentCount)
	return err
}

type exampleCmd struct{}

// Run prints the example file.
func (exampleCmd) Run(out io.Writer) error { return opsconfig.Example(out) }

type versionCmd struct{}

// Run prints the version information of the build.
func (versionCmd) Run(out io.Writer) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("this build has no version information")
	}
	buildSettings := map[string]string{}
	for _, s := range info.Settings {
		buildSettings[s.Key] = s.Value
	}
	text := "chalkdoor " + info.Main.Version
	if r := buildSettings["vcs.revision"]; r != "" {
		text += " " + r
		if buildSettings["vcs.modified"] == "true" {
			text += " modified"
		}
	}
	_, err := fmt.Fprintln(out, text, info.GoVersion)
	return err
}

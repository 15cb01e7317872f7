package main

import "time"

const description = `Change and read the configuration of a router fleet, and inspect its agents.

Agents are named by their control addresses; without --agent the settings file of the machine (CHALKDOOR_NODE_FILE) names them. If a call fails, it is repeated at the next agent until one gives a final answer or the timeout expires. A change without a final answer may have been committed: run the same command again with the same --if-match, and the change is committed exactly once.

Exit statuses: 0 done; 1 wrong usage, or a file can't be read; 2 rejected as invalid; 3 another revision is current; 4 no final answer in time; 5 the state on disk is corrupted; 6 not found.`

// cli defines the flags and commands of edgectl.
type cli struct {
	Agent   []string      `name:"agent" help:"Control address of an agent; if several are given, the next one is tried after a failure." placeholder:"IP:PORT" env:"CHALKDOOR_AGENTS"`
	JSON    bool          `name:"json" help:"Print JSON."`
	Timeout time.Duration `name:"timeout" help:"Time limit for a command, including all attempts." default:"15s"`

	Config   configCommands `name:"config" cmd:"" help:"The configuration."`
	Members  inspectCommand `name:"members" cmd:"" help:"Print the agents that hold a lease."`
	Servers  inspectCommand `name:"servers" cmd:"" help:"Print the servers that are listed."`
	View     inspectCommand `name:"view" cmd:"" help:"Print the agreed view and its chain."`
	Status   inspectCommand `name:"status" cmd:"" help:"Print the status of an agent."`
	Figures  inspectCommand `name:"figures" cmd:"" help:"Print the counters of an agent."`
	Recovery inspectCommand `name:"recovery" cmd:"" help:"Print when an agent reached each step of its start."`
	Quotas   inspectCommand `name:"quotas" cmd:"" help:"Print an agent's shares of the tenants' quotas."`
	State    stateCommands  `name:"state" cmd:"" help:"State on disk."`
	Version  versionCommand `name:"version" cmd:"" help:"Print the version."`
}

type configCommands struct {
	Put   putCommand   `name:"put" cmd:"" help:"Submit a complete configuration."`
	Patch patchCommand `name:"patch" cmd:"" help:"Submit a change of named items."`
	Get   getCommand   `name:"get" cmd:"" help:"Print the newest configuration, as it was submitted."`
	Check checkCommand `name:"check" cmd:"" help:"Validate a file without submitting it, and report the key of the first error."`
}

type stateCommands struct {
	Verify verifyCommand `name:"verify" cmd:"" help:"Verify the state that an agent has on disk; the agent must not be running."`
}

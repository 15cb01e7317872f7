// Package hollownode runs fleets of hundreds of agents on one machine, to measure what control costs.
//
// A hollow agent is the daemon without clients, servers' connections and HTTP: the real core.Member,
// hub.Hub and rpc on loopback, each at an address of its own, many of them to a process. Members of
// the core have a process each, with their state on disk, so that processor time and memory are
// those of their role; real daemons may run beside them as further agents. Model servers are loops
// that beat to an agent and go to the next one when it is gone.
//
// What is counted: messages and bytes by call, at the listeners of those that are called (all that
// an agent says and hears goes through a machine of the core), processor time and memory of each
// process, and by the steady clock of the machine, which its processes share, when each change of
// the configuration and each drain has reached each agent. Links have no delay here.
package hollownode

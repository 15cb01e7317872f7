package hollownode

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Write prints the result as text.
func (r *Result) Write(out io.Writer) error {
	c := &r.Config
	var text strings.Builder
	fmt.Fprintf(&text, "%d hollow agents and %d real ones, %d of the core, %d servers; configuration of %.1f KB; window %.1f s\n",
		c.Agents, c.Real, c.Core, c.Servers, float64(r.ConfigBytes)/1e3, r.Window.Seconds())
	table := tabwriter.NewWriter(&text, 0, 8, 2, ' ', 0)
	r.writeDelays(table)
	r.writeStartup(table)
	r.writeRoles(table)
	r.writeCalls(table)
	if err := table.Flush(); err != nil {
		return err
	}
	for _, e := range r.Errors {
		fmt.Fprintf(&text, "trouble: %s\n", e)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// namedDelays is a line of the table of delays.
type namedDelays struct {
	name string
	Delays
}

func (r *Result) writeDelays(w io.Writer) {
	fmt.Fprintln(w, "\ntimes, ms\tn\tp50\tmax\tmissing")
	for _, d := range []namedDelays{{"start until it could serve", r.ReadyDelays}, {"start until all servers were known", r.ServersKnown},
		{"change sent until acknowledged", r.AckDelays}, {"change acknowledged until in force at all", r.AppliedDelays},
		{"drain acknowledged until known to all", r.DrainDelays}, {"agent back until it could serve", r.RestartDelays}} {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\n", d.name, d.N, formatMs(d.P50), formatMs(d.Max), d.Missing)
	}
	if loss := r.Loss; loss != nil {
		for _, d := range []namedDelays{{"acknowledged", loss.AckDelays}, {"in force at all", loss.AppliedDelays}, {"drain known to all", loss.DrainDelays}} {
			fmt.Fprintf(w, "%s (%s) lost: %s\t%d\t%s\t%s\t%d\n", loss.Name, loss.Position, d.name, d.N, formatMs(d.P50), formatMs(d.Max), d.Missing)
		}
	}
}

func (r *Result) writeStartup(w io.Writer) {
	fmt.Fprintln(w, "\nstart of all at once, for one\tprocessor ms\tmessages\tKB")
	fmt.Fprintf(w, "hollow agent\t%s\t%.0f\t%.1f\n", formatMs(r.Startup.AgentCPU), r.Startup.Messages, r.Startup.Bytes/1e3)
	fmt.Fprintf(w, "machine of the core\t%s\n", formatMs(r.Startup.CoreCPU))
	if len(r.Daemons) > 0 {
		fmt.Fprintf(w, "real daemon\t%s\n", formatMs(r.Startup.DaemonCPU))
	}
	fmt.Fprintf(w, "leases that lapsed though their agents ran\t%d\n", r.LapsedLeases)
}

func (r *Result) writeRoles(w io.Writer) {
	fmt.Fprintln(w, "\nprocess\tmessages/s\tbytes/s\tcore %\theap KB\tstacks KB\tRSS MB\tpeak MB\tdescriptors\tsessions\tbytes/s agents\tbytes/s core")
	writeRole(w, "one hollow agent", r.Agent, "")
	for _, m := range r.Core {
		writeRole(w, m.Name+", "+m.Position, m.Role, fmt.Sprintf("%d\t%.0f\t%.0f", m.Sessions, m.AgentBytes, m.PeerBytes))
	}
	for _, d := range r.Daemons {
		fmt.Fprintf(w, "%s, real\t\t\t%.2f\t\t\t%.1f\t%.1f\t\tready after %s ms, configuration %d\n", d.Name, 100*d.CPU.Seconds()/r.Window.Seconds(),
			float64(d.RSS)/1e6, float64(d.Peak)/1e6, formatMs(d.ReadyDelay), d.ConfigSeq)
	}
}

// writeRole prints a line of the table of roles; more are its last columns.
func writeRole(w io.Writer, name string, role Role, more string) {
	fmt.Fprintf(w, "%s\t%.1f\t%.0f\t%.2f\t%.0f\t%.0f\t%.1f\t%.1f\t%d\t%s\n", name, role.Messages, role.Bytes, 100*role.CPU,
		float64(role.Heap)/1e3, float64(role.Stacks)/1e3, float64(role.RSS)/1e6, float64(role.Peak)/1e6, role.FDs, more)
}

func (r *Result) writeCalls(w io.Writer) {
	fmt.Fprintln(w, "\ncall\tcalls/s\tmessages/s\tbytes/s\tbytes a message")
	seconds := r.Window.Seconds()
	for _, call := range slices.Sorted(maps.Keys(r.Calls)) {
		count := r.Calls[call]
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.0f\t%.0f\n", call, float64(count.Calls)/seconds, float64(count.Messages())/seconds,
			float64(count.Bytes())/seconds, float64(count.Bytes())/float64(max(count.Messages(), 1)))
	}
	fmt.Fprintf(w, "beats of servers (in process)\t%.1f\n", r.HeartbeatRate)
}

// formatMs formats a duration as milliseconds.
func formatMs(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

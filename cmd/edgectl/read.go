package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kong"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/controlapi"
	"chalkdoor.example/chalkdoor/internal/fleet/store"
)

type inspectCommand struct {
	Each bool `name:"each" help:"Ask each agent, and print what each of them says."`
}

// Run prints what the command's name asks for: the answer of the first agent that gives one, or
// of each.
func (c *inspectCommand) Run(s *session, line *kong.Context) error {
	agents, err := s.agentAddresses()
	if err != nil {
		return err
	}
	what := line.Command()
	if !c.Each {
		raw, err := controlapi.NewClient(agents).Inspect(s.ctx, what)
		if err != nil {
			return err
		}
		return s.printAnswer(raw)
	}
	var failed error
	for _, a := range agents {
		raw, err := controlapi.NewClient([]string{a}).Inspect(s.ctx, what)
		if err != nil {
			failed = err
			raw, _ = json.Marshal(map[string]string{"error": err.Error()})
		}
		if s.JSON { // one line an agent
			err = json.NewEncoder(s.stdout).Encode(map[string]any{"agent": a, what: json.RawMessage(raw)})
		} else if _, err = fmt.Fprintf(s.stdout, "# %s\n", a); err == nil {
			err = s.printAnswer(raw)
		}
		if err != nil {
			return err
		}
	}
	return failed
}

// printAnswer prints an agent's answer.
func (s *session) printAnswer(raw []byte) error {
	if s.JSON {
		_, err := s.stdout.Write(append(bytes.TrimSpace(raw), '\n'))
		return err
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	v, err := decodeOrdered(d)
	if err != nil {
		return apierror.Wrap(err, apierror.Unavailable, "", "ask another agent, or use --json")
	}
	return render(s.stdout, v, "")
}

// orderedObject keeps the order of its keys.
type orderedObject []field

type field struct {
	key   string
	value any
}

func decodeOrdered(d *json.Decoder) (any, error) {
	t, err := d.Token()
	if err != nil {
		return nil, err
	}
	delim, ok := t.(json.Delim)
	if !ok {
		return t, nil
	}
	if delim == '[' {
		list := []any{}
		for d.More() {
			v, err := decodeOrdered(d)
			if err != nil {
				return nil, err
			}
			list = append(list, v)
		}
		_, err = d.Token()
		return list, err
	}
	o := orderedObject{}
	for d.More() {
		k, err := d.Token()
		if err != nil {
			return nil, err
		}
		v, err := decodeOrdered(d)
		if err != nil {
			return nil, err
		}
		o = append(o, field{fmt.Sprint(k), v})
	}
	_, err = d.Token()
	return o, err
}

// render prints objects as lines of key and value, and lists of objects as tables.
func render(w io.Writer, v any, indent string) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	switch v := v.(type) {
	case orderedObject:
		for _, p := range v {
			if !isNested(p.value) {
				fmt.Fprintf(tab, "%s%s\t%s\n", indent, printable(p.key), formatCell(p.value))
			}
		}
		if err := tab.Flush(); err != nil {
			return err
		}
		for _, p := range v {
			if isNested(p.value) {
				fmt.Fprintf(w, "%s%s:\n", indent, printable(p.key))
				if err := render(w, p.value, indent+"  "); err != nil {
					return err
				}
			}
		}
	case []any:
		var columns []string
		for _, e := range v {
			o, _ := e.(orderedObject)
			for _, p := range o {
				if !slices.Contains(columns, p.key) {
					columns = append(columns, p.key)
				}
			}
		}
		if len(columns) > 0 {
			head := make([]string, len(columns))
			for i, k := range columns {
				head[i] = printable(k)
			}
			fmt.Fprintf(tab, "%s%s\n", indent, strings.Join(head, "\t"))
		}
		for _, e := range v {
			o, ok := e.(orderedObject)
			if !ok {
				fmt.Fprintf(tab, "%s%s\n", indent, formatCell(e))
				continue
			}
			row := make([]string, len(columns))
			for _, p := range o {
				row[slices.Index(columns, p.key)] = formatCell(p.value)
			}
			fmt.Fprintf(tab, "%s%s\n", indent, strings.Join(row, "\t"))
		}
	default:
		fmt.Fprintf(tab, "%s%s\n", indent, formatCell(v))
	}
	return tab.Flush()
}

// isNested tells whether a value takes lines of its own.
func isNested(v any) bool {
	switch v := v.(type) {
	case orderedObject:
		return len(v) > 0
	case []any:
		return slices.ContainsFunc(v, func(e any) bool { _, ok := e.(orderedObject); return ok })
	}
	return false
}

func formatCell(v any) string {
	switch v := v.(type) {
	case nil:
		return "-"
	case orderedObject:
		parts := make([]string, len(v))
		for i, p := range v {
			parts[i] = printable(p.key) + "=" + formatCell(p.value)
		}
		return strings.Join(parts, " ")
	case []any:
		parts := make([]string, len(v))
		for i, e := range v {
			parts[i] = formatCell(e)
		}
		return strings.Join(parts, ",")
	}
	return printable(fmt.Sprint(v))
}

// printable keeps what agents say from steering the terminal or the table.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r >= 0x7f && r < 0xa0 {
			return '?'
		}
		return r
	}, s)
}

type verifyCommand struct {
	Dir string `name:"dir" arg:"" help:"The state-dir of the agent." type:"existingdir"`
}

// Run prints what a state file holds and whether it is whole.
func (c *verifyCommand) Run(s *session) error {
	rep, err := store.Verify(c.Dir)
	if err != nil {
		return apierror.Wrap(err, apierror.Internal, c.Dir, "name a folder that can be read")
	}
	raw, err := json.Marshal(rep)
	if err == nil {
		err = s.printAnswer(raw)
	}
	if err == nil && rep.Damaged {
		err = apierror.New(apierror.Corrupted, c.Dir, "start the agent: it sets the file aside and takes a copy from the others", "%s", rep.Reason)
	}
	return err
}

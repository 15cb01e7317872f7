package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

const (
	columnPadding = 2
	nestedIndent  = "  "
)

func newTable(writer io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(writer, 0, 0, columnPadding, ' ', 0)
}

// render prints an object as lines of key and value, a list as a table, and any other value on one line.
func render(writer io.Writer, value any, indent string) error {
	switch value := value.(type) {
	case orderedObject:
		return renderObject(writer, value, indent)
	case []any:
		return renderList(writer, value, indent)
	default:
		_, err := fmt.Fprintf(writer, "%s%s\n", indent, formatCell(value))
		return err
	}
}

// renderObject prints the fields that fit on one line first, then the nested ones, each below its key.
func renderObject(writer io.Writer, object orderedObject, indent string) error {
	table := newTable(writer)
	for _, field := range object {
		if !isNested(field.value) {
			fmt.Fprintf(table, "%s%s\t%s\n", indent, printable(field.key), formatCell(field.value))
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, field := range object {
		if !isNested(field.value) {
			continue
		}
		fmt.Fprintf(writer, "%s%s:\n", indent, printable(field.key))
		if err := render(writer, field.value, indent+nestedIndent); err != nil {
			return err
		}
	}
	return nil
}

// renderList prints a list as a table with a column for each key of its objects.
func renderList(writer io.Writer, list []any, indent string) error {
	table := newTable(writer)
	columns := columnsOf(list)
	if len(columns) > 0 {
		header := make([]string, len(columns))
		for i, key := range columns {
			header[i] = printable(key)
		}
		fmt.Fprintf(table, "%s%s\n", indent, strings.Join(header, "\t"))
	}
	for _, element := range list {
		object, ok := element.(orderedObject)
		if !ok {
			fmt.Fprintf(table, "%s%s\n", indent, formatCell(element))
			continue
		}
		row := make([]string, len(columns))
		for _, field := range object {
			row[slices.Index(columns, field.key)] = formatCell(field.value)
		}
		fmt.Fprintf(table, "%s%s\n", indent, strings.Join(row, "\t"))
	}
	return table.Flush()
}

// columnsOf returns the keys of all objects in a list, in the order of their first occurrence.
func columnsOf(list []any) []string {
	var columns []string
	for _, element := range list {
		object, _ := element.(orderedObject)
		for _, field := range object {
			if !slices.Contains(columns, field.key) {
				columns = append(columns, field.key)
			}
		}
	}
	return columns
}

// isNested reports whether a value does not fit on the line of its key: a non-empty object, or a list that
// contains an object.
func isNested(value any) bool {
	switch value := value.(type) {
	case orderedObject:
		return len(value) > 0
	case []any:
		return slices.ContainsFunc(value, func(element any) bool { _, ok := element.(orderedObject); return ok })
	}
	return false
}

// formatCell returns a value as one cell of a table.
func formatCell(value any) string {
	switch value := value.(type) {
	case nil:
		return "-"
	case orderedObject:
		pairs := make([]string, len(value))
		for i, field := range value {
			pairs[i] = printable(field.key) + "=" + formatCell(field.value)
		}
		return strings.Join(pairs, " ")
	case []any:
		elements := make([]string, len(value))
		for i, element := range value {
			elements[i] = formatCell(element)
		}
		return strings.Join(elements, ",")
	}
	return printable(fmt.Sprint(value))
}

// printable replaces control characters, so that an agent's answer can change neither the state of the
// terminal nor the layout of a table.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r >= 0x7f && r < 0xa0 {
			return '?'
		}
		return r
	}, text)
}

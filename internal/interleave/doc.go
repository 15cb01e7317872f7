// Package interleave is a model checker for deterministic code: it executes the code through all
// interleavings of the events that may happen to it.
//
// Explore executes the code from its start once for each sequence of choices, with one choice at each
// point where the order is open. Search explores a graph of states that can be copied, breadth-first.
//
// Guaranteed: each sequence of choices is explored, except for those behind a state that was visited
// before (states are compared by their hashes) and those beyond a limit, which the result names. The
// code under test must be deterministic: it must take all its decisions by Choose.
package interleave

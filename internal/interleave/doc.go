// Package interleave is a model checker for deterministic code: it executes the code with all
// interleavings of the events that may occur.
//
// Explore executes the code from its start once for each sequence of choices, with one choice at each
// point where more than one event may be next. Search explores a graph of states that can be copied,
// breadth-first.
//
// Every sequence of choices is explored, except those that continue from a state that was visited before
// (states are compared by their hashes) and those beyond a limit, which the result names. The code under
// test must be deterministic except for the results of Choose.
package interleave

// Package apierror gives errors a kind that programs act on and a message that people act on: the
// key that is wrong, what is wrong with it, and the remedy.
package apierror

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Kind is what a caller decides by.
type Kind uint8

// The kinds. Internal is also the kind of errors that carry none.
const (
	Internal       Kind = iota
	Invalid             // what was sent is wrong and stays wrong: change it
	Conflict            // it was right for a state that has passed: read anew, then decide
	NotFound            // there is no such thing
	TooLarge            // it passes a bound
	Unavailable         // it was not done: ask again, or elsewhere
	OutcomeUnknown      // it may have been done: send the same again
	Corrupted           // what the disk holds is not what was written
)

var kindNames = [...]string{"internal", "invalid", "conflict", "not found", "too large", "unavailable", "unclear", "damaged"}

func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Error is one fault. Its message is "KEY: what is wrong; remedy".
type Error struct {
	Kind   Kind
	Key    string // of the setting, field, file or call; may be empty
	Remedy string // may be empty
	Cause  error  // what is wrong
}

// New makes a fault; format and args say what is wrong.
func New(kind Kind, key, remedy, format string, args ...any) error {
	return &Error{Kind: kind, Key: key, Remedy: remedy, Cause: fmt.Errorf(format, args...)}
}

// Wrap makes a fault of err, nil of nil.
func Wrap(err error, kind Kind, key, remedy string) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: kind, Key: key, Remedy: remedy, Cause: err}
}

// PrefixKey says that the key of err, where it has one, lies inside another.
func PrefixKey(err error, outer string) error {
	var f *Error
	if !errors.As(err, &f) {
		return err
	}
	g := *f
	if g.Key != "" {
		outer += "."
	}
	g.Key = outer + g.Key
	return &g
}

func (e *Error) Error() string {
	s := e.Cause.Error()
	if e.Key != "" {
		s = e.Key + ": " + s
	}
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of the outermost fault in err, Internal where there is none.
func KindOf(err error) Kind {
	var f *Error
	if errors.As(err, &f) {
		return f.Kind
	}
	return Internal
}

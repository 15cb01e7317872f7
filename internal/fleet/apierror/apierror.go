// Package apierror defines errors with a kind that programs act on, and a message that operators act on:
// the key that is wrong, what is wrong with it, and the remedy.
package apierror

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Kind classifies an error by what its caller can do.
type Kind uint8

// The kinds. Internal is also the kind of an error without an *Error.
const (
	Internal       Kind = iota
	Invalid             // the input is wrong, and stays wrong until it is changed
	Conflict            // the state has changed since the input was made: read it again, then decide
	NotFound            // the requested item does not exist
	TooLarge            // the input exceeds a limit
	Unavailable         // the call was not carried out: retry, or call another agent
	OutcomeUnknown      // the call may have been carried out: retry without any change
	Corrupted           // the data on disk differ from what was written
)

// kindNames are the names of the kinds in the output of edgectl.
var kindNames = [...]string{"internal", "invalid", "conflict", "not found", "too large",
	"unavailable", "unclear", "damaged"}

// String returns the kind's name as edgectl prints it.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Error is an error with a kind. Its message is "KEY: what is wrong; remedy".
type Error struct {
	Kind   Kind
	Key    string // name of the setting, field, file or call; may be empty
	Remedy string // what the operator can do; may be empty
	Cause  error  // what is wrong; never nil
}

// New returns an *Error whose cause is fmt.Errorf(format, args...).
func New(kind Kind, key, remedy, format string, args ...any) error {
	return &Error{Kind: kind, Key: key, Remedy: remedy, Cause: fmt.Errorf(format, args...)}
}

// Wrap returns an *Error with the cause err, or nil if err is nil.
func Wrap(err error, kind Kind, key, remedy string) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: kind, Key: key, Remedy: remedy, Cause: err}
}

// PrefixKey returns a copy of the *Error in err whose key is prefixed with outer and a dot, as in
// "routes.r.timeout-ms". err itself is not modified. An error without an *Error is returned unchanged.
func PrefixKey(err error, outer string) error {
	var inner *Error
	if !errors.As(err, &inner) {
		return err
	}
	prefixed := *inner
	if prefixed.Key == "" {
		prefixed.Key = outer
	} else {
		prefixed.Key = outer + "." + prefixed.Key
	}
	return &prefixed
}

// Error implements error.
func (e *Error) Error() string {
	text := e.Cause.Error()
	if e.Key != "" {
		text = e.Key + ": " + text
	}
	if e.Remedy != "" {
		text += "; " + e.Remedy
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of the outermost *Error in err, or Internal if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

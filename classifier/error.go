package classifier

import (
	"errors"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// Error is an error of one of the listed kinds. Detail explains it to people;
// Cause may be nil.
type Error struct {
	Kind   Kind
	Detail string
	Cause  error
}

// Error returns the kind, the detail and the cause in one line.
func (e *Error) Error() string {
	text := e.Kind.String()
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns an error of the given kind with a formatted detail.
func New(kind Kind, format string, args ...any) error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the given kind with the cause and its stack.
func Wrap(kind Kind, cause error, detail string) error {
	return &Error{Kind: kind, Detail: detail, Cause: eris.Wrap(cause, kind.String())}
}

// DetailOf returns the text of err without the leading name of its kind. The
// name stands there twice when the error has been sent over a link.
func DetailOf(err error) string {
	name := KindOf(err).String() + ": "
	text := err.Error()
	for strings.HasPrefix(text, name) {
		text = text[len(name):]
	}
	return text
}

// KindOf returns the kind of err: None for nil, Internal for an error that
// contains no Error.
func KindOf(err error) Kind {
	if err == nil {
		return None
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

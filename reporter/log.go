package reporter

import (
	"io"
	"time"

	"github.com/go-kit/log"
)

// Level is the severity of a log line.
type Level int

// The levels of log lines in rising severity.
const (
	Debug Level = iota
	Info
	Warn
	Error
)

// String returns the name of the level in log lines.
func (l Level) String() string {
	switch l {
	case Debug:
		return "debug"
	case Info:
		return "info"
	case Warn:
		return "warn"
	default:
		return "error"
	}
}

// The names of fields in log lines. Every line has the first five.
const (
	FieldTime    = "time"
	FieldLevel   = "level"
	FieldRole    = "role"
	FieldName    = "name"
	FieldMessage = "message"

	FieldAddress  = "address"
	FieldAttempt  = "attempt"
	FieldCount    = "count"
	FieldEntry    = "entry"
	FieldError    = "error"
	FieldFile     = "file"
	FieldIndex    = "index"
	FieldJob      = "job"
	FieldKind     = "kind"
	FieldLimit    = "limit"
	FieldMember   = "member"
	FieldReason   = "reason"
	FieldService  = "service"
	FieldSignal   = "signal"
	FieldSpan     = "span"
	FieldTask     = "task"
	FieldTerm     = "term"
	FieldTicket   = "ticket"
	FieldVersion  = "version"
	FieldWorker   = "worker"
	FieldSettings = "settings"
)

// Logger writes log lines; its methods may be called from any goroutine.
type Logger struct {
	level Level
	out   log.Logger
}

// newLogger returns a logger whose lines have the fields time, role and
// name.
func newLogger(out io.Writer, level Level, role, name string) *Logger {
	lines := log.NewJSONLogger(log.NewSyncWriter(out))
	lines = log.With(lines, FieldTime, log.TimestampFormat(utcNow, time.RFC3339Nano), FieldRole, role, FieldName, name)
	return &Logger{level: level, out: lines}
}

func utcNow() time.Time { return time.Now().UTC() }

// With returns a logger that adds fields, given as pairs of name and value,
// to each line.
func (l *Logger) With(pairs ...any) *Logger {
	return &Logger{level: l.level, out: log.With(l.out, redactPairs(pairs)...)}
}

// Debug logs details of single requests.
func (l *Logger) Debug(message string, pairs ...any) { l.log(Debug, message, pairs) }

// Info logs a normal change.
func (l *Logger) Info(message string, pairs ...any) { l.log(Info, message, pairs) }

// Warn logs a fault that the process handles itself.
func (l *Logger) Warn(message string, pairs ...any) { l.log(Warn, message, pairs) }

// Error logs a fault that needs an operator.
func (l *Logger) Error(message string, pairs ...any) { l.log(Error, message, pairs) }

func (l *Logger) log(level Level, message string, pairs []any) {
	if level < l.level {
		return
	}
	fixed := []any{FieldLevel, level.String(), FieldMessage, message}
	err := l.out.Log(append(fixed, redactPairs(pairs)...)...)
	if err != nil {
		// Logs the message without its fields if a value can't be encoded as
		// JSON.
		_ = l.out.Log(append(fixed, FieldError, "the line's fields can't be shown: "+err.Error())...)
	}
}

// redactPairs replaces the values of fields whose names indicate a secret.
func redactPairs(pairs []any) []any {
	clean := make([]any, 0, len(pairs)+1)
	for i, value := range pairs {
		if i%2 == 1 {
			if name, ok := pairs[i-1].(string); ok && isSecretName(name) {
				value = redacted
			}
		}
		clean = append(clean, value)
	}
	return clean
}

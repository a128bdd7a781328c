// Package logs creates the process's logger. It writes one JSON object per line, with
// field names in camelCase.
//
// # Usage
//
//	log, err := logs.New(logs.Config{Out: os.Stderr, Level: "info", Host: "entry-1"})
//	if err != nil {
//		return err
//	}
//	log.Info("shard acquired", zap.Stringer("shard", id))
package logs

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"heatherhub.example/heatherhub"
)

// Config configures a logger.
type Config struct {
	// Out receives the lines.
	Out io.Writer
	// Level is debug, info, warn or error.
	Level string
	// Host and Domain are added to every line if Host is set.
	Host   heatherhub.HostID
	Domain heatherhub.FailureDomain
}

// New returns a logger. It returns ErrInvalid for an unknown level.
func New(cfg Config) (*zap.Logger, error) {
	level, err := ParseLevel(cfg.Level)
	if err != nil {
		return nil, err
	}
	enc := zap.NewProductionEncoderConfig()
	enc.TimeKey = "time"
	enc.EncodeTime = zapcore.TimeEncoderOfLayout(time.RFC3339Nano)
	enc.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.Lock(zapcore.AddSync(cfg.Out)), level)
	log := zap.New(plainErrors{core})
	if cfg.Host != "" {
		log = log.With(zap.String("host", string(cfg.Host)), zap.String("domain", string(cfg.Domain)))
	}
	return log, nil
}

// ParseLevel parses a level name. It returns ErrInvalid for an unknown one.
func ParseLevel(name string) (zapcore.Level, error) {
	level, err := zapcore.ParseLevel(name)
	if err != nil {
		return level, heatherhub.ErrInvalid.New("log level %q is unknown: use debug, info, warn or error", name)
	}
	return level, nil
}

// plainErrors logs an error as its message alone. The verbose form that zap adds for
// errors of this module is a stack trace, many times longer than the rest of the line.
type plainErrors struct {
	zapcore.Core
}

// With adds fields to all lines.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(plain(fields))}
}

// Check adds the core to an entry whose level is enabled.
func (c plainErrors) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write writes one line.
func (c plainErrors) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, plain(fields))
}

func plain(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		out[i] = f
	}
	return out
}

package server

import (
	"fmt"
	"log/slog"
)

// gnetLogger passes gnet's log lines on. All below errors are for debugging.
type gnetLogger struct{ log *slog.Logger }

func (l gnetLogger) Debugf(format string, args ...any) { l.log.Debug(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Infof(format string, args ...any)  { l.Debugf(format, args...) }
func (l gnetLogger) Warnf(format string, args ...any)  { l.Debugf(format, args...) }
func (l gnetLogger) Errorf(format string, args ...any) { l.log.Error(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Fatalf(format string, args ...any) { l.Errorf(format, args...) }

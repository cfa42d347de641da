package server

import (
	"fmt"
	"log/slog"
)

// gnetLogger writes gnet's log lines to log. Lines below the error level are logged at the debug
// level.
type gnetLogger struct{ log *slog.Logger }

func (l gnetLogger) Debugf(format string, args ...any) { l.log.Debug(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Infof(format string, args ...any)  { l.Debugf(format, args...) }
func (l gnetLogger) Warnf(format string, args ...any)  { l.Debugf(format, args...) }
func (l gnetLogger) Errorf(format string, args ...any) { l.log.Error(fmt.Sprintf(format, args...)) }
func (l gnetLogger) Fatalf(format string, args ...any) { l.Errorf(format, args...) }

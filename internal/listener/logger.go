package listener

import (
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/lesismal/nbio/logging"
	"github.com/sirupsen/logrus"
)

// nbioLogger forwards nbio's own log lines. nbio has one logger for the process, so the lines
// of all listeners go to the logger of the first one.
var nbioLogger logAdapter

// logAdapter implements nbio's logger with logrus.
type logAdapter struct{ log atomic.Pointer[logrus.Logger] }

func setLogger(log *logrus.Logger) {
	if nbioLogger.log.CompareAndSwap(nil, log) {
		logging.SetLogger(&nbioLogger)
	}
}

// Debug implements nbio's logger.
func (a *logAdapter) Debug(format string, v ...any) { a.print(logrus.DebugLevel, format, v) }

// Info implements nbio's logger. It logs at debug level, because nbio reports every start and
// stop with it.
func (a *logAdapter) Info(format string, v ...any) { a.print(logrus.DebugLevel, format, v) }

// Warn implements nbio's logger.
func (a *logAdapter) Warn(format string, v ...any) { a.print(logrus.WarnLevel, format, v) }

// Error implements nbio's logger. It logs at warning level, because nbio also reports lost
// connections with it.
func (a *logAdapter) Error(format string, v ...any) { a.print(logrus.WarnLevel, format, v) }

func (a *logAdapter) print(level logrus.Level, format string, v []any) {
	log := a.log.Load()
	if !log.IsLevelEnabled(level) {
		return
	}
	text := strings.TrimSpace(fmt.Sprintf(format, v...))
	log.WithField("source", "nbio").Log(level, text)
}

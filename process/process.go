// Package process builds and runs the processes from their settings: a daemon with its feed
// client, claim client and, if configured, relay; a control replica with its feed server; and
// the daemon and the control replica of a fleet.
package process

import (
	"crypto/rand"
	"encoding/binary"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/bilberrydeck/bilberrydeck/logging"
	"github.com/bilberrydeck/bilberrydeck/settings"
)

// OpenLog returns the logger that the settings specify and a function that closes its file. It
// appends to an existing file. Without a file, the logger writes to stderr.
func OpenLog(s settings.Log, stderr io.Writer) (*logging.Logger, func(), error) {
	w, closeLog := stderr, func() {}
	if s.File != "" {
		f, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
		if err != nil {
			return nil, nil, errors.Wrap(err, "opening the log file")
		}
		w, closeLog = f, func() { _ = f.Close() } // the process exits afterwards
	}
	logger := logging.New(w)
	logger.SetLevel(log.ParseLevel(s.Level))
	return logger, closeLog, nil
}

// newSeed returns a seed for the random choices of the packages in core, which have no random
// source of their own.
func newSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, as documented
	return binary.LittleEndian.Uint64(b[:])
}

// logStopped logs the end of a process and its error, if any.
func logStopped(logger *logging.Logger, process string, err error) {
	if err != nil {
		logger.Error().Err(err).Msg(process + " stopped")
		return
	}
	logger.Info().Msg(process + " stopped")
}

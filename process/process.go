// Package process assembles the real processes from their settings: a daemon
// with its feed client, claims client and, if configured, relay; and a control
// replica with its feed server.
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

// OpenLog returns the logger that settings ask for and a function that closes
// its file. Lines are appended to an existing file.
func OpenLog(s settings.Log, stderr io.Writer) (*logging.Logger, func(), error) {
	w, end := stderr, func() {}
	if s.File != "" {
		f, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
		if err != nil {
			return nil, nil, errors.Wrap(err, "opening the log file")
		}
		w, end = f, func() { _ = f.Close() } // the process ends
	}
	logger := logging.New(w)
	logger.SetLevel(log.ParseLevel(s.Level))
	return logger, end, nil
}

// newSeed returns a seed for the random choices of the core, which has no
// random source of its own.
func newSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, as documented
	return binary.LittleEndian.Uint64(b[:])
}

// logStopped writes the last line of a process.
func logStopped(logger *logging.Logger, process string, err error) {
	if err != nil {
		logger.Error().Err(err).Msg(process + " stopped")
		return
	}
	logger.Info().Msg(process + " stopped")
}

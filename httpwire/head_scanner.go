package httpwire

import (
	"bytes"
	"net/http"
)

// HeadScanner checks the head of a response as its bytes arrive, and the heads of the interim responses
// before it. The parser of net/http accepts heads whose meaning is unclear: it takes "Content-Length : 5"
// for another header, and the body then has another length than its sender meant. A proxy must not pass
// on such a response. The zero value scans a head without a limit of lines.
type HeadScanner struct {
	maxLines int // 0 for no limit
	lines    int
	interim  bool // the current head is that of an interim response
	oldMinor bool // the response has version 1.0
	ended    bool // the empty line after the head of the final response was read
	err      *ParseError

	prefix [scannedPrefix]byte // beginning of the current line
	length int                 // of the current line so far, without a carriage return at its end
	inName bool                // the current line is a header whose colon has not been read
}

// scannedPrefix is the number of bytes of a line that are kept: the status line up to the status, or the
// longest name of a header that is compared.
const scannedPrefix = len("transfer-encoding")

// Scan checks the next bytes of a connection. It ignores all that follows the head of a final response,
// an error, or the limit of lines.
func (s *HeadScanner) Scan(p []byte) {
	for len(p) > 0 && !s.ended && s.err == nil && !s.exceedsLines() {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			s.scanPart(bytes.TrimSuffix(p, []byte{'\r'}))
			return
		}
		s.scanPart(bytes.TrimSuffix(p[:end], []byte{'\r'}))
		s.endLine()
		p = p[end+1:]
	}
}

// Err returns the error in the head, nil if there is none so far.
func (s *HeadScanner) Err() error {
	if s.err == nil {
		return nil
	}
	return s.err
}

// exceedsLines reports whether the head has reached the limit of lines without an end.
func (s *HeadScanner) exceedsLines() bool {
	return s.maxLines > 0 && s.lines >= s.maxLines && !s.ended
}

// scanPart checks a part of the current line.
func (s *HeadScanner) scanPart(part []byte) {
	if s.length == 0 {
		s.inName = s.lines > 0
	}
	if s.length < scannedPrefix {
		copy(s.prefix[s.length:], part)
	}
	if s.inName {
		s.scanName(part)
	}
	s.length += len(part)
}

// scanName checks a part of a line up to the colon after the name.
func (s *HeadScanner) scanName(part []byte) {
	for i, b := range part {
		if b == ':' && s.length+i > 0 {
			s.inName = false
			s.checkName(s.length + i)
			return
		}
		if !tokenBytes[b] {
			s.fail("a header name of the response has a character that no name has")
			return
		}
	}
}

// endLine checks the line that has ended.
func (s *HeadScanner) endLine() {
	switch {
	case s.err != nil:
	case s.lines == 0:
		s.checkStatusLine()
	case s.length == 0 && s.interim:
		s.lines = -1 // the next line is a status line
	case s.length == 0:
		s.ended = true
	case s.inName:
		s.fail("a line of the response head has no colon")
	}
	s.lines++
	s.length = 0
}

// checkStatusLine checks "HTTP/1.x", the status and what separates them.
func (s *HeadScanner) checkStatusLine() {
	const status = len("HTTP/1.1 ")
	line := s.prefix[:min(s.length, scannedPrefix)]
	digit := func(i int) bool { return line[i] >= '0' && line[i] <= '9' }
	switch {
	case len(line) < status+3, string(line[:7]) != "HTTP/1.", !digit(7), line[8] != ' ', !digit(status), !digit(status + 1), !digit(status + 2):
		s.fail("the status line of the response is malformed")
		return
	case len(line) > status+3 && line[status+3] != ' ':
		s.fail("the status of the response is malformed")
		return
	}
	s.oldMinor = line[7] == '0'
	s.interim = line[status] == '1'
	switch {
	case line[status] < '1', line[status] > '5':
		s.fail("the response has a status that does not exist")
	case string(line[status:status+3]) == "101":
		s.fail("the response switches protocols, which no request asks for")
	}
}

// checkName checks the name of a header.
func (s *HeadScanner) checkName(length int) {
	if s.oldMinor && length <= scannedPrefix && bytes.EqualFold(s.prefix[:length], []byte("transfer-encoding")) {
		s.fail("a response of version 1.0 has a transfer encoding")
	}
}

func (s *HeadScanner) fail(reason string) {
	s.err = &ParseError{Status: http.StatusBadGateway, Reason: reason}
}

// tokenBytes has true for each byte that may be part of a header name.
var tokenBytes = func() (table [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		table[b] = true
	}
	return table
}()

var errMalformedTrailer = &ParseError{Status: http.StatusBadGateway, Reason: "a trailer name of the response has a character that no name has"}

// validNames reports whether all names of headers or trailers are valid. The parser of net/http accepts
// names with blanks.
func validNames(h http.Header) bool {
	for name := range h {
		for _, b := range []byte(name) {
			if !tokenBytes[b] {
				return false
			}
		}
	}
	return true
}

package httpwire

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// headOfLines returns a response head with the given number of lines, the empty one at its end included.
func headOfLines(n int) string {
	b := &strings.Builder{}
	b.WriteString("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2000\r\n")
	for i := range n - 4 {
		fmt.Fprintf(b, "%x:\r\n", i)
	}
	return b.String() + "\r\n"
}

// TestResponseHeadLines guards against a head of many short lines, each of which takes much more memory
// than its bytes, and checks that lines of a body and of earlier heads do not count.
func TestResponseHeadLines(t *testing.T) {
	body := strings.Repeat("\n", 2000)
	interim := "HTTP/1.1 102 Processing\r\n\r\n"
	for name, c := range map[string]struct {
		sent string
		err  error
	}{
		"at the limit":              {headOfLines(maxResponseHeadLines) + body, nil},
		"over the limit":            {headOfLines(maxResponseHeadLines+1) + body, ErrResponseHeadTooLarge},
		"far over the limit":        {headOfLines(9000) + body, ErrResponseHeadTooLarge},
		"at the limit, interim":     {strings.Repeat(interim, 100) + headOfLines(maxResponseHeadLines) + body, nil},
		"over the limit, interim":   {interim + headOfLines(2*maxResponseHeadLines) + body, ErrResponseHeadTooLarge},
		"after another's response":  {"HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 2000\r\n\r\n" + body + headOfLines(10) + body, nil},
		"over it, after another's":  {"HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 2000\r\n\r\n" + body + headOfLines(2*maxResponseHeadLines), ErrResponseHeadTooLarge},
		"many lines in one segment": {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2000\r\n\r\n" + body, nil},
	} {
		t.Run(name, func(t *testing.T) {
			conn, s := connect(t)
			go func() {
				s.readRequest()
				_, _ = io.WriteString(s.Conn, c.sent) // the client closes the connection at the limit
			}()
			resp, err := conn.Do(testContext(t), getRequest("1"))
			if c.err != nil {
				require.ErrorIs(t, err, c.err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, body, readBody(t, resp))
		})
	}
}

// TestLineCount checks the count whatever the parts in which a head arrives.
func TestLineCount(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	for size := 1; size <= len(head)+4; size++ {
		s := HeadScanner{maxLines: 3}
		for rest := head + "\n\n\n\n"; rest != ""; {
			n := min(size, len(rest))
			s.Scan([]byte(rest[:n]))
			rest = rest[n:]
		}
		require.False(t, s.exceedsLines(), size)
		require.Equal(t, 3, s.lines, size)
		over := HeadScanner{maxLines: 2}
		over.Scan([]byte(head))
		require.True(t, over.exceedsLines(), size)
	}
}

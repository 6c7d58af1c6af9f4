package httpwire

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// malformedHeads are heads whose meaning is unclear; net/http accepts most of them.
var malformedHeads = map[string]string{
	"blank before the colon":             "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 3\r\n\r\n",
	"blank in a name":                    "HTTP/1.1 200 OK\r\nId: 1\r\nX Y: 1\r\nContent-Length: 3\r\n\r\n",
	"blank before a name":                "HTTP/1.1 200 OK\r\nId: 1\r\nX: 1\r\n Content-Length: 3\r\n\r\n",
	"tab before a name":                  "HTTP/1.1 200 OK\r\nId: 1\r\nX: 1\r\n\tContent-Length: 3\r\n\r\n",
	"tab before the colon":               "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length\t: 3\r\n\r\n",
	"control byte in a name":             "HTTP/1.1 200 OK\r\nId: 1\r\nX\x01Y: 1\r\nContent-Length: 3\r\n\r\n",
	"zero byte in a name":                "HTTP/1.1 200 OK\r\nId: 1\r\nX\x00: 1\r\nContent-Length: 3\r\n\r\n",
	"carriage return in a name":          "HTTP/1.1 200 OK\r\nId: 1\r\nX\rY: 1\r\nContent-Length: 3\r\n\r\n",
	"delete in a name":                   "HTTP/1.1 200 OK\r\nId: 1\r\nX\x7f: 1\r\nContent-Length: 3\r\n\r\n",
	"byte above 127 in a name":           "HTTP/1.1 200 OK\r\nId: 1\r\nX\x80: 1\r\nContent-Length: 3\r\n\r\n",
	"control byte in a value":            "HTTP/1.1 200 OK\r\nId: 1\r\nX: a\x01b\r\nContent-Length: 3\r\n\r\n",
	"carriage return in a value":         "HTTP/1.1 200 OK\r\nId: 1\r\nX: a\rContent-Length: 6\r\nContent-Length: 3\r\n\r\n",
	"no name":                            "HTTP/1.1 200 OK\r\nId: 1\r\n: 1\r\nContent-Length: 3\r\n\r\n",
	"no colon":                           "HTTP/1.1 200 OK\r\nId: 1\r\nX\r\nContent-Length: 3\r\n\r\n",
	"blank in an interim head":           "HTTP/1.1 102 Processing\r\nX : 1\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n",
	"blank after an interim head":        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nX : 1\r\nContent-Length: 3\r\n\r\n",
	"blank in another's head":            "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length : 3\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n",
	"blank in a trailer":                 "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX : 1\r\n\r\n",
	"status 000":                         "HTTP/1.1 000 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n",
	"status 000 with a response as body": "HTTP/1.1 000 OK\r\nId: 1\r\nContent-Length: 56\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n",
	"status 099":                         "HTTP/1.1 099 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n",
	"status 600":                         "HTTP/1.1 600 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n",
	"status 999":                         "HTTP/1.1 999 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n",
	"status with a sign":                 "HTTP/1.1 +20 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n",
	"status with four digits":            "HTTP/1.1 2000 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n",
	"status after two blanks":            "HTTP/1.1  200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n",
	"switching protocols":                "HTTP/1.1 101 Switching Protocols\r\nId: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n",
	"another version":                    "HTTP/2.0 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n",
	"an older version":                   "HTTP/0.9 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n",
	"chunks in version 1.0":              "HTTP/1.0 200 OK\r\nId: 1\r\ntransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	"no status line":                     "Id: 1\r\nContent-Length: 3\r\n\r\n",
	"empty line before the status line":  "\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n",
}

// TestMalformedHeadIsNoResponse guards against a head that cannot be trusted: an exchange with it fails,
// however the head arrives.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for name, head := range malformedHeads {
		for _, size := range []int{1, 7, len(head)} {
			t.Run(name, func(t *testing.T) {
				c, s := connect(t)
				go func() {
					s.readRequest()
					for rest := head + "abc"; rest != ""; {
						n := min(size, len(rest))
						_, _ = io.WriteString(s.Conn, rest[:n]) // the client closes the connection at the error
						rest = rest[n:]
					}
					_ = s.Close() // as above
				}()
				resp, err := c.Do(testContext(t), getRequest("1"))
				if err == nil {
					_, err = io.ReadAll(resp.Body)
				}
				require.Error(t, err)
				require.NotErrorIs(t, err, ErrNoResponse)
			})
		}
	}
}

// TestWellFormedHeads checks heads that must be accepted, in parts of each size.
func TestWellFormedHeads(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
		"HTTP/1.1 200\r\nContent-Length: 3\r\n\r\n",
		"HTTP/1.1 404 Not Found\nX:\nx_y.z~!#$%&'*+-^`|09AZaz: a b:c\t\"\xe9\"\n\n",
		"HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\nTransfer-Encoding-X: 1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 503 X\r\nRetry-After: 1\r\n\r\n",
		"HTTP/1.1 599 X\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		_, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
		require.NoError(t, err, "%q", head)
		for size := 1; size <= len(head); size++ {
			s := HeadScanner{}
			for rest := head + "X Y: \x01\r\n"; rest != ""; {
				n := min(size, len(rest))
				s.Scan([]byte(rest[:n]))
				rest = rest[n:]
			}
			require.NoError(t, s.Err(), "%q in parts of %d", head, size)
			require.True(t, s.ended, "%q in parts of %d", head, size)
		}
	}
}

package integration

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

// TestSmoke runs all kinds of processes together. It guards against changes that do
// not become active, call chains that fail, bookings with an idempotency key that
// execute twice, uploads that a graceful shutdown interrupts, metrics that the
// reference page does not list, and wrong exit codes.
func TestSmoke(t *testing.T) {
	c := newCluster(t, false)
	out, errs, code := c.publish(t, "1", 4)
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, "is accepted as version 1")
	c.awaitChain(t)

	t.Run("repeated numbers", c.repeatedNumbers)
	t.Run("status", c.checkStatus)
	t.Run("metrics", c.checkMetrics)
	t.Run("booking", c.checkBooking)
	t.Run("graceful shutdown", c.gracefulShutdown)
	t.Run("forced shutdown", c.forcedShutdown)
	t.Run("stop all", c.stopAll)
}

// repeatedNumbers publishes changes under a configuration number that is already
// used, with the same and with other content.
func (c *cluster) repeatedNumbers(t *testing.T) {
	again, _, code := c.publish(t, "1", 4)
	require.Equal(t, 0, code)
	require.Contains(t, again, "is accepted as version 1")
	_, errs, code := c.publish(t, "1", 5)
	require.Equal(t, 1, code)
	require.Contains(t, errs, "number 1 was taken by change id ")
	require.Contains(t, errs, " by tester at ")
	out, errs, code := c.publish(t, "auto", 5)
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, "change 2 of set default")
	resent, errs, code := c.publish(t, "auto", 5)
	require.Equal(t, 0, code, errs)
	require.Equal(t, out, resent)
}

// checkStatus checks that the status command reports version 2 at all replicas and
// daemons, and the counters of one daemon.
func (c *cluster) checkStatus(t *testing.T) {
	controls := strings.Join(c.addresses(), ",")
	waitFor(t, "a status with version 2 and all daemons", func() bool {
		out, _, code := runCommand(t, "status", "-controls", controls, "-json")
		var responses []struct {
			Status struct {
				Version string `json:"version"`
				Daemons []struct {
					Version string `json:"version"`
					State   string `json:"state"`
				} `json:"daemons"`
			} `json:"status"`
		}
		if code != 0 || json.Unmarshal([]byte(out), &responses) != nil || len(responses) != 3 {
			return false
		}
		for _, a := range responses {
			if a.Status.Version != "2" || len(a.Status.Daemons) != len(c.daemons) {
				return false
			}
			for _, reported := range a.Status.Daemons {
				if reported.Version != "2" || reported.State != "serving" {
					return false
				}
			}
		}
		return true
	})
	out, errs, code := runCommand(t, "status", "-daemon", c.daemons["front"].admin)
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, "daemon daemon-front of front in south-a (south): serving")
	require.Contains(t, out, "configuration version 2, confirmed true")
	require.Regexp(t, `entrance_requests +[1-9]`, out)
	require.Regexp(t, `gate\.limit +[1-9]`, out)
}

// checkMetrics checks that the reference page lists every metric of a daemon.
func (c *cluster) checkMetrics(t *testing.T) {
	page, err := os.ReadFile("../docs/reference/requests.md")
	require.NoError(t, err)
	status, _, body := get(c.daemons["front"].admin, "/debug/vars")
	require.Equal(t, http.StatusOK, status)
	var vars struct {
		Daemon map[string]json.RawMessage `json:"bilberrydeck"`
	}
	require.NoError(t, json.Unmarshal([]byte(body), &vars))
	require.NotEmpty(t, vars.Daemon)
	for name := range vars.Daemon {
		require.Contains(t, string(page), "`"+name+"`")
	}
}

// checkBooking sends the same booking three times with one idempotency key and
// expects one execution.
func (c *cluster) checkBooking(t *testing.T) {
	key := uuid.Must(uuid.NewV7()).String()
	book := func(service string) string {
		r, err := http.NewRequest(http.MethodPost, "http://"+c.daemons[service].ingress+"/deep/book", strings.NewReader("x"))
		require.NoError(t, err)
		r.Header.Set("Idempotency-Key", key)
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		status, _, body := readResponse(response)
		if status != http.StatusOK {
			return response.Header.Get("Bilberry-Reason")
		}
		return body
	}
	require.Equal(t, "booking 1", book("front"))
	// The claim is recorded as finished only after the response was sent.
	waitFor(t, "the stored response", func() bool { return book("middle") != "in-progress" })
	require.Equal(t, "booking 1", book("deep"))
}

// upload is a request to the deepest service whose body the test sends in parts.
type upload struct {
	body    *io.PipeWriter
	results chan uploadResult
}

type uploadResult struct {
	status int // 0 if no complete response was received
	body   string
}

// uploadPart is one part of the body of an upload.
var uploadPart = strings.Repeat("p", 1<<20)

func startUpload(ingress string) *upload {
	body, writer := io.Pipe()
	u := &upload{writer, make(chan uploadResult, 1)}
	go func() {
		response, err := http.Post("http://"+ingress+"/deep/upload", "image/jpeg", body)
		if err != nil {
			u.results <- uploadResult{0, err.Error()}
			return
		}
		status, _, text := readResponse(response)
		u.results <- uploadResult{status, text}
	}()
	return u
}

// beginUpload sends the first part of an upload and waits until the upstream reads it.
func (c *cluster) beginUpload(t *testing.T) *upload {
	before := c.uploadedBytes.Load()
	u := startUpload(c.daemons["front"].ingress)
	_, err := io.WriteString(u.body, uploadPart)
	require.NoError(t, err)
	waitFor(t, "the start of the upload at the upstream", func() bool { return c.uploadedBytes.Load() > before })
	return u
}

func awaitDraining(t *testing.T, n *node) {
	t.Helper()
	waitFor(t, "a draining upstream", func() bool {
		out, _, code := runCommand(t, "status", "-daemon", n.admin)
		return code == 0 && strings.Contains(out, ": draining")
	})
}

// gracefulShutdown sends SIGTERM to the daemon whose upstream receives an upload, and
// checks that the upload completes.
func (c *cluster) gracefulShutdown(t *testing.T) {
	deep := c.daemons["deep"]
	u := c.beginUpload(t)
	deep.signal(syscall.SIGTERM)
	awaitDraining(t, deep)
	waitFor(t, "a rejection of new requests", func() bool {
		status, outcome, _ := get(c.daemons["front"].ingress, "/deep/look")
		return status == http.StatusServiceUnavailable && outcome == "not-run"
	})
	// The upload continues after the ingress listener is closed. From then on the
	// process waits only for requests in flight.
	waitFor(t, "the end of the ingress listener", func() bool {
		conn, err := net.Dial("tcp", deep.ingress)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	_, err := io.WriteString(u.body, uploadPart)
	require.NoError(t, err)
	require.NoError(t, u.body.Close())
	require.Equal(t, uploadResult{http.StatusOK, "2097152 bytes"}, <-u.results)
	require.Equal(t, 0, deep.wait())
}

// forcedShutdown starts the stopped daemon again and ends it with two SIGTERM signals
// while an upload is in flight. The caller must not get a complete response.
func (c *cluster) forcedShutdown(t *testing.T) {
	deep := c.daemons["deep"]
	deep.process = start(t, "daemon", "-settings", deep.settingsFile)
	c.awaitChain(t)
	u := c.beginUpload(t)
	deep.signal(syscall.SIGTERM)
	awaitDraining(t, deep)
	deep.signal(syscall.SIGTERM)
	require.Equal(t, 1, deep.wait())
	require.Contains(t, deep.log.String(), "the stop was forced")
	_ = u.body.Close() // the upload has already failed
	require.NotEqual(t, http.StatusOK, (<-u.results).status)
}

// stopAll shuts down all other processes gracefully.
func (c *cluster) stopAll(t *testing.T) {
	var running []*process
	for service, n := range c.daemons {
		if service != "deep" {
			running = append(running, n.process)
		}
	}
	for _, p := range c.controls {
		running = append(running, p)
	}
	for _, p := range running {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range running {
		require.Equal(t, 0, p.wait(), p.args)
		require.Contains(t, p.log.String(), "event=listen_without_tls")
	}
}

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

// TestSmoke guards against processes that do not work together: changes that
// are not put in force, chains that do not pass, keyed bookings that run
// twice, uploads that a planned stop interrupts, metrics that the reference does
// not name, and wrong exit codes.
func TestSmoke(t *testing.T) {
	d := newDeck(t, false)
	out, errs, code := d.publish(t, "1", 4)
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, "is accepted as version 1")
	d.awaitChain(t)

	t.Run("equal numbers", d.equalNumbers)
	t.Run("status", d.status)
	t.Run("metrics", d.metrics)
	t.Run("booking", d.booking)
	t.Run("planned stop", d.plannedStop)
	t.Run("forced stop", d.forcedStop)
	t.Run("end", d.end)
}

func (d *deck) equalNumbers(t *testing.T) {
	again, _, code := d.publish(t, "1", 4)
	require.Equal(t, 0, code)
	require.Contains(t, again, "is accepted as version 1")
	_, errs, code := d.publish(t, "1", 5)
	require.Equal(t, 1, code)
	require.Contains(t, errs, "number 1 was taken by change id ")
	require.Contains(t, errs, " by tester at ")
	out, errs, code := d.publish(t, "auto", 5)
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, "change 2 of set default")
	resent, errs, code := d.publish(t, "auto", 5)
	require.Equal(t, 0, code, errs)
	require.Equal(t, out, resent)
}

func (d *deck) status(t *testing.T) {
	controls := strings.Join(d.addresses(), ",")
	until(t, "a status with version 2 and all daemons", func() bool {
		out, _, code := runCommand(t, "status", "-controls", controls, "-json")
		var answers []struct {
			Status struct {
				Version string `json:"version"`
				Daemons []struct {
					Version string `json:"version"`
					State   string `json:"state"`
				} `json:"daemons"`
			} `json:"status"`
		}
		if code != 0 || json.Unmarshal([]byte(out), &answers) != nil || len(answers) != 3 {
			return false
		}
		for _, a := range answers {
			if a.Status.Version != "2" || len(a.Status.Daemons) != len(d.daemons) {
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
	out, errs, code := runCommand(t, "status", "-daemon", d.daemons["front"].admin)
	require.Equal(t, 0, code, errs)
	require.Contains(t, out, "daemon daemon-front of front in south-a (south): serving")
	require.Contains(t, out, "configuration version 2, confirmed true")
	require.Regexp(t, `entrance_requests +[1-9]`, out)
	require.Regexp(t, `gate\.limit +[1-9]`, out)
}

// metrics compares the names of the metrics with the reference page.
func (d *deck) metrics(t *testing.T) {
	page, err := os.ReadFile("../docs/reference/requests.md")
	require.NoError(t, err)
	status, _, body := get(d.daemons["front"].admin, "/debug/vars")
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

func (d *deck) booking(t *testing.T) {
	key := uuid.Must(uuid.NewV7()).String()
	book := func(service string) string {
		r, err := http.NewRequest(http.MethodPost, "http://"+d.daemons[service].entrance+"/deep/book", strings.NewReader("x"))
		require.NoError(t, err)
		r.Header.Set("Idempotency-Key", key)
		answer, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		status, _, body := read(answer)
		if status != http.StatusOK {
			return answer.Header.Get("Bilberry-Reason")
		}
		return body
	}
	require.Equal(t, "booking 1", book("front"))
	// The end of the claim is recorded after the answer.
	until(t, "the stored answer", func() bool { return book("middle") != "in-progress" })
	require.Equal(t, "booking 1", book("deep"))
}

// upload is an upload to the deepest service that the test sends in parts.
type upload struct {
	sender  *io.PipeWriter
	answers chan uploadAnswer
}

type uploadAnswer struct {
	status int // 0 if no complete answer came
	body   string
}

// uploadPart is one part of an upload.
var uploadPart = strings.Repeat("p", 1<<20)

func startUpload(entrance string) *upload {
	body, sender := io.Pipe()
	u := &upload{sender, make(chan uploadAnswer, 1)}
	go func() {
		answer, err := http.Post("http://"+entrance+"/deep/upload", "image/jpeg", body)
		if err != nil {
			u.answers <- uploadAnswer{0, err.Error()}
			return
		}
		status, _, text := read(answer)
		u.answers <- uploadAnswer{status, text}
	}()
	return u
}

// beginUpload sends the first part and waits until the upstream reads it.
func (d *deck) beginUpload(t *testing.T) *upload {
	before := d.uploaded.Load()
	u := startUpload(d.daemons["front"].entrance)
	_, err := io.WriteString(u.sender, uploadPart)
	require.NoError(t, err)
	until(t, "the start of the upload at the upstream", func() bool { return d.uploaded.Load() > before })
	return u
}

func awaitDraining(t *testing.T, n *node) {
	t.Helper()
	until(t, "a draining upstream", func() bool {
		out, _, code := runCommand(t, "status", "-daemon", n.admin)
		return code == 0 && strings.Contains(out, ": draining")
	})
}

// plannedStop stops the daemon behind an upload that is still being sent.
func (d *deck) plannedStop(t *testing.T) {
	deep := d.daemons["deep"]
	u := d.beginUpload(t)
	deep.signal(syscall.SIGTERM)
	awaitDraining(t, deep)
	until(t, "a refusal of new work", func() bool {
		status, outcome, _ := get(d.daemons["front"].entrance, "/deep/look")
		return status == http.StatusServiceUnavailable && outcome == "not-run"
	})
	// The upload outlasts the time for which the entrance goes on routing: only
	// from then on does the process wait for nothing but what is in flight.
	until(t, "an entrance that has stopped listening", func() bool {
		conn, err := net.Dial("tcp", deep.entrance)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	_, err := io.WriteString(u.sender, uploadPart)
	require.NoError(t, err)
	require.NoError(t, u.sender.Close())
	require.Equal(t, uploadAnswer{http.StatusOK, "2097152 bytes"}, <-u.answers)
	require.Equal(t, 0, deep.wait())
}

// forcedStop starts the stopped daemon again and ends it with two signals
// while an upload is in flight, which the caller must not take for complete.
func (d *deck) forcedStop(t *testing.T) {
	deep := d.daemons["deep"]
	deep.process = start(t, "daemon", "-settings", deep.settings)
	d.awaitChain(t)
	u := d.beginUpload(t)
	deep.signal(syscall.SIGTERM)
	awaitDraining(t, deep)
	deep.signal(syscall.SIGTERM)
	require.Equal(t, 1, deep.wait())
	require.Contains(t, deep.log.String(), "the stop was forced")
	_ = u.sender.Close() // the upload has failed already
	require.NotEqual(t, http.StatusOK, (<-u.answers).status)
}

// end stops all other processes as planned.
func (d *deck) end(t *testing.T) {
	var running []*process
	for service, n := range d.daemons {
		if service != "deep" {
			running = append(running, n.process)
		}
	}
	for _, p := range d.controls {
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

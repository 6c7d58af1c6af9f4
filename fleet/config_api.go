package fleet

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/sha256"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/raft"
	"github.com/bilberrydeck/bilberrydeck/core/statemachine"
)

// ConfigChange is a request of an operator to replace the routing configuration.
type ConfigChange struct {
	BaseVersion uint64 // version of the configuration that is replaced, 0 for the first one
	Version     uint64
	Document    []byte
}

// ChangeStatus is the result of a change.
type ChangeStatus uint8

// The results of a change.
const (
	Accepted     ChangeStatus = iota // active, or accepted before when the same change was sent
	StaleBase                        // another configuration is current
	StaleVersion                     // the version is not above the current one
)

var statusNames = [...]string{"accepted", "another configuration is current", "the number is not above the current one"}

// String describes the result.
func (s ChangeStatus) String() string { return statusNames[s] }

// NotLeaderError is returned by a replica that is not the leader.
type NotLeaderError struct{ Leader string } // gRPC address of the leader, empty if it is unknown

func (e *NotLeaderError) Error() string { return "another control replica is the leader" }

// UnavailableError is returned if the control group cannot confirm a result now.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return "control plane unavailable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// PutConfig replaces the routing configuration and returns once a quorum has stored the
// change. The error is a *NotLeaderError or an *UnavailableError. After the latter the change
// may still be accepted, and it may be sent again.
func (s *SessionServer) PutConfig(ctx context.Context, ch ConfigChange) (ChangeStatus, error) {
	if raftStatus := s.control.RaftStatus(); raftStatus.Role != raft.Leader {
		return 0, &NotLeaderError{raftStatus.Leader.GetAddress()}
	}
	digest := sha256.Sum256(ch.Document)
	document, err := DeflateDocument(ch.Version, ch.Document)
	if err != nil {
		return 0, &UnavailableError{err}
	}
	res, err := s.Execute(ctx, &api.FleetCommand{Operation: &api.FleetCommand_Routing{Routing: &api.RoutingChange{
		Base: ch.BaseVersion, Digest: digest[:], Document: document,
	}}})
	if err != nil {
		return 0, &UnavailableError{err}
	}
	s.log.Info().Uint64("base", ch.BaseVersion).Uint64("number", ch.Version).Str("status", res.Status.String()).Bool("repeated", res.Repeated).
		Uint64("current", res.Current).Int("bytes", len(ch.Document)).Int("deflated", len(document.Deflated)).Msg("configuration decided")
	switch res.Status {
	case api.RoutingStatus_ROUTING_STATUS_ACCEPTED:
		return Accepted, nil
	case api.RoutingStatus_ROUTING_STATUS_STALE_BASE:
		return StaleBase, nil
	}
	return StaleVersion, nil
}

const (
	// maxReadAge is the maximum age of the quorum confirmation for a read: half of the two seconds
	// within which a change must be active.
	maxReadAge = time.Second
	// readPollInterval is the interval at which a read checks for a newer quorum confirmation.
	readPollInterval = 20 * time.Millisecond
)

// GetConfig returns the text of the newest configuration, nil if there is none. All readers of a version
// share the text, which must not be changed: a reader may hold it for long. The error is an
// *UnavailableError if no quorum confirms within the deadline of ctx that it is the newest.
func (s *SessionServer) GetConfig(ctx context.Context) ([]byte, error) {
	for {
		if age, ok := s.control.ConfirmationAge(); ok && age <= maxReadAge {
			break
		}
		select {
		case <-ctx.Done():
			return nil, &UnavailableError{status.Error(codes.DeadlineExceeded, "no quorum has confirmed the newest configuration")}
		case <-time.After(readPollInterval):
		}
	}
	var doc *api.RoutingDocument
	s.readFleet(func(f *statemachine.Fleet) { doc = f.Routing() })
	if doc == nil {
		return nil, nil
	}
	return s.inflated.text(doc)
}

// inflatedDocument holds the text of the document that was read last.
type inflatedDocument struct {
	mu     sync.Mutex // held while a document is inflated, so that this happens once
	source *api.RoutingDocument
	cached []byte
}

// text returns the text of a document.
func (d *inflatedDocument) text(doc *api.RoutingDocument) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.source == doc {
		return d.cached, nil
	}
	text, err := InflateDocument(doc)
	if err != nil {
		return nil, err
	}
	d.source, d.cached = doc, text
	return text, nil
}

// InflateDocument returns the uncompressed text of a routing document.
func InflateDocument(doc *api.RoutingDocument) ([]byte, error) {
	return io.ReadAll(flate.NewReader(bytes.NewReader(doc.Deflated)))
}

// DeflateDocument returns a routing document with a text.
func DeflateDocument(number uint64, text []byte) (*api.RoutingDocument, error) {
	deflated, err := deflate(text)
	return &api.RoutingDocument{Number: number, Deflated: deflated}, err
}

func deflate(text []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

package fleet

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/sha256"
	"io"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/raft"
	"github.com/bilberrydeck/bilberrydeck/core/statemachine"
)

// ConfigChange is a routing configuration that an operator wants in force.
type ConfigChange struct {
	BaseVersion uint64 // number of the configuration that it replaces, 0 for the first one
	Version     uint64
	Document    []byte
}

// ChangeStatus tells what became of a change.
type ChangeStatus uint8

// The verdicts.
const (
	Accepted     ChangeStatus = iota // in force from now on, or accepted when it was sent before
	StaleBase                        // another configuration is current
	StaleVersion                     // the number is not above the current one
)

var verdictNames = [...]string{"accepted", "another configuration is current", "the number is not above the current one"}

// String describes the verdict.
func (v ChangeStatus) String() string { return verdictNames[v] }

// NotLeaderError tells that another replica has to be asked.
type NotLeaderError struct{ Leader string } // gRPC address

func (e *NotLeaderError) Error() string { return "another control replica leads" }

// UnavailableError tells that the group cannot answer for certain now.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return "control is not available: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// PutConfig replaces the routing configuration. It returns once a quorum has stored
// the change. The error is a *NotLeaderError or an *UnavailableError; with the
// latter the change may still be accepted, and may be sent again.
func (s *SessionServer) PutConfig(ctx context.Context, ch ConfigChange) (ChangeStatus, error) {
	if v := s.control.RaftStatus(); v.Role != raft.Leader {
		return 0, &NotLeaderError{v.Leader.GetAddress()}
	}
	digest := sha256.Sum256(ch.Document)
	deflated, err := deflate(ch.Document)
	if err != nil {
		return 0, &UnavailableError{err}
	}
	res, err := s.Execute(ctx, &api.FleetCommand{Operation: &api.FleetCommand_Routing{Routing: &api.RoutingChange{
		Base: ch.BaseVersion, Digest: digest[:], Document: &api.RoutingDocument{Number: ch.Version, Deflated: deflated},
	}}})
	if err != nil {
		return 0, &UnavailableError{err}
	}
	s.log.Info().Uint64("base", ch.BaseVersion).Uint64("number", ch.Version).Str("status", res.Status.String()).Bool("repeated", res.Repeated).
		Uint64("current", res.Current).Int("bytes", len(ch.Document)).Int("deflated", len(deflated)).Msg("configuration decided")
	switch res.Status {
	case api.RoutingStatus_ROUTING_STATUS_ACCEPTED:
		return Accepted, nil
	case api.RoutingStatus_ROUTING_STATUS_STALE_BASE:
		return StaleBase, nil
	}
	return StaleVersion, nil
}

const (
	// readWithin is the greatest age of a confirmation that makes a read certain
	// enough: half of the two seconds within which a change must be in force.
	readWithin = time.Second
	// readPoll is the interval at which a read looks for a newer confirmation.
	readPoll = 20 * time.Millisecond
)

// GetConfig returns the text of the newest configuration, nil if there is none.
// The error is an *UnavailableError if that cannot be known for certain.
func (s *SessionServer) GetConfig(ctx context.Context) ([]byte, error) {
	for {
		if age, ok := s.control.ConfirmationAge(); ok && age <= readWithin {
			break
		}
		select {
		case <-ctx.Done():
			return nil, &UnavailableError{status.Error(codes.DeadlineExceeded, "no quorum has confirmed the newest configuration")}
		case <-time.After(readPoll):
		}
	}
	var doc *api.RoutingDocument
	s.readFleet(func(f *statemachine.Fleet) { doc = f.Routing() })
	if doc == nil {
		return nil, nil
	}
	return InflateDocument(doc)
}

// InflateDocument returns the text of a routing document.
func InflateDocument(doc *api.RoutingDocument) ([]byte, error) {
	return io.ReadAll(flate.NewReader(bytes.NewReader(doc.Deflated)))
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

// Package statemachine holds the replicated state machines: the configuration,
// which accepts or rejects operators' changes; the claims, which ensure that
// requests with an idempotency key are executed at most once; and the fleet, which
// holds the routing configuration and the daemons. A state machine is
// deterministic: the same commands in the same order yield the same state and the
// same results on every replica. The time is part of the commands, set by the
// leader.
package statemachine

import (
	"fmt"

	"google.golang.org/protobuf/proto"
)

// DecodeError reports a command or snapshot that cannot be decoded: it is corrupt
// or was written by an incompatible version.
type DecodeError struct {
	Kind  string
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("decode %s: %v", e.Kind, e.Cause) }

// Unwrap returns the underlying error.
func (e *DecodeError) Unwrap() error { return e.Cause }

func decode(kind string, data []byte, into proto.Message) error {
	if err := proto.Unmarshal(data, into); err != nil {
		return &DecodeError{Kind: kind, Cause: err}
	}
	return nil
}

// encode marshals deterministically, so that equal states have byte-identical
// snapshots.
func encode(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Marshal fails only on invalid UTF-8 in a string field, which decoding
		// has already rejected.
		panic(fmt.Sprintf("marshal %T: %v", m, err))
	}
	return data
}

// Package statemachine holds the replicated state machines: the configuration, which
// accepts or rejects operators' changes, and the claims, which let keyed work
// run at most once. A machine is deterministic: the same commands in the same
// order give the same state and the same results on every replica. Time comes
// stamped into the commands by the leader.
package statemachine

import (
	"fmt"

	"google.golang.org/protobuf/proto"
)

// DecodeError reports a command or snapshot that cannot be decoded. It means
// that the log holds something that this version does not understand.
type DecodeError struct {
	Kind  string
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("decode %s: %v", e.Kind, e.Cause) }

// Unwrap returns the underlying error.
func (e *DecodeError) Unwrap() error { return e.Cause }

func decode(what string, data []byte, into proto.Message) error {
	if err := proto.Unmarshal(data, into); err != nil {
		return &DecodeError{Kind: what, Cause: err}
	}
	return nil
}

// encode marshals deterministically, so that snapshots of equal states are
// equal bytes.
func encode(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Marshal fails only on invalid UTF-8 in a string field; decoding has
		// rejected such a message before it got here.
		panic(fmt.Sprintf("marshal %T: %v", m, err))
	}
	return data
}

package fleet

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/replicaselect"
)

// session is a session of an agent with one control replica.
type session struct {
	address  string
	end      context.CancelFunc
	begun    time.Time
	stream   attendStream // nil until the session is open
	sequence uint64
	sent     map[uint64]time.Time // requests that no update has echoed
	renewed  time.Time
	member   *api.FleetMember // sent last
	heard    time.Time        // last update, zero before the first
	answered time.Time        // when the newest request was sent that a replica in touch has answered
	age      time.Duration    // of the confirmation in the last update
}

type attendStream = grpc.BidiStreamingClient[api.AttendRequest, api.AttendUpdate]

// event is what happened on a session: it was opened, an update came or it
// failed.
type event struct {
	session *session
	stream  attendStream
	update  *api.AttendUpdate
	err     error
}

// open begins a session. Connecting and receiving happen in a goroutine of its
// own, which ends with the session.
func (a *Agent) open(ctx context.Context, address string) *session {
	ctx, cancel := context.WithCancel(ctx)
	s := &session{address: address, end: cancel, begun: a.cfg.Clock(), sent: map[uint64]time.Time{}}
	go a.receive(ctx, s)
	return s
}

func (a *Agent) receive(ctx context.Context, s *session) {
	post := func(e event) {
		e.session = s
		select {
		case a.events <- e:
		case <-ctx.Done():
		}
	}
	conn, err := connect(a.cfg.Dial, s.address)
	if err != nil {
		post(event{err: err})
		return
	}
	defer func() { _ = conn.Close() }() // nothing is left to send
	stream, err := api.NewFleetClient(conn).Attend(ctx)
	if err != nil {
		post(event{err: err})
		return
	}
	post(event{stream: stream})
	for {
		u, err := stream.Recv()
		post(event{update: u, err: err})
		if err != nil {
			return
		}
	}
}

// send numbers and sends a request.
func (s *session) send(now time.Time, r *api.AttendRequest) error {
	s.sequence++
	r.Sequence = s.sequence
	s.sent[s.sequence], s.renewed = now, now
	return s.stream.Send(r)
}

// note records an update. It returns an upper bound of the time since the
// confirmation that the update carries: the update was sent after the request
// that it echoes, however long it was on the way.
func (s *session) note(now time.Time, u *api.AttendUpdate) (age time.Duration, known bool) {
	s.heard = now
	at, echoed := s.sent[u.Echo]
	for sequence := range s.sent {
		if sequence < u.Echo {
			delete(s.sent, sequence)
		}
	}
	if u.ConfirmationAgeMs < 0 {
		return 0, false
	}
	s.age = time.Duration(u.ConfirmationAgeMs) * time.Millisecond
	if echoed && s.age < replicaselect.MaxConfirmationAge && at.After(s.answered) {
		s.answered = at
	}
	return now.Sub(at) + s.age, echoed
}

// silence is the time since the last update, or since the beginning.
func (s *session) silence(now time.Time) time.Duration {
	if s.heard.IsZero() {
		return now.Sub(s.begun)
	}
	return now.Sub(s.heard)
}

// works reports whether requests are answered soon, by a replica in touch with its
// quorum. An update may have been on the way for long, so that it comes tells little.
func (s *session) works(now time.Time) bool {
	return !s.answered.IsZero() && now.Sub(s.answered) <= replicaselect.SessionTimeout
}

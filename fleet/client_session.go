package fleet

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/replicaselect"
)

// session is an agent's session with one control replica.
type session struct {
	address         string
	cancel          context.CancelFunc
	openedAt        time.Time
	stream          attendStream // nil until the session is open
	sequence        uint64
	sentAt          map[uint64]time.Time // send times of the requests that no update has echoed, by sequence
	lastRequestAt   time.Time
	sentMember      *api.FleetMember // last member entry sent
	lastUpdateAt    time.Time        // zero before the first update
	acknowledgedAt  time.Time        // send time of the newest request that a replica with quorum contact has echoed
	confirmationAge time.Duration    // age of the quorum confirmation in the last update
}

type attendStream = grpc.BidiStreamingClient[api.AttendRequest, api.AttendUpdate]

// event is an event of a session: exactly one of stream, update and err is set. stream is set
// once the session is open.
type event struct {
	session *session
	stream  attendStream
	update  *api.AttendUpdate
	err     error
}

// openSession starts a session. A separate goroutine connects and receives; it ends with the
// session.
func (a *Agent) openSession(ctx context.Context, address string) *session {
	ctx, cancel := context.WithCancel(ctx)
	s := &session{address: address, cancel: cancel, openedAt: a.cfg.Clock(), sentAt: map[uint64]time.Time{}}
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
	conn, err := connect(a.cfg.Dialer, s.address)
	if err != nil {
		post(event{err: err})
		return
	}
	defer func() { _ = conn.Close() }() // no data is pending
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

// send assigns a sequence number to a request and sends it.
func (s *session) send(now time.Time, r *api.AttendRequest) error {
	s.sequence++
	r.Sequence = s.sequence
	s.sentAt[s.sequence], s.lastRequestAt = now, now
	return s.stream.Send(r)
}

// recordUpdate records an update. It returns an upper bound of the age of the quorum
// confirmation in the update. The update was sent after the request that it echoes, so the
// bound holds for any transmission delay. known is false if the update has no quorum
// confirmation or echoes no pending request.
func (s *session) recordUpdate(now time.Time, u *api.AttendUpdate) (age time.Duration, known bool) {
	s.lastUpdateAt = now
	at, echoed := s.sentAt[u.Echo]
	for sequence := range s.sentAt {
		if sequence < u.Echo {
			delete(s.sentAt, sequence)
		}
	}
	if u.ConfirmationAgeMs < 0 {
		return 0, false
	}
	s.confirmationAge = time.Duration(u.ConfirmationAgeMs) * time.Millisecond
	if echoed && s.confirmationAge < replicaselect.MaxConfirmationAge && at.After(s.acknowledgedAt) {
		s.acknowledgedAt = at
	}
	return now.Sub(at) + s.confirmationAge, echoed
}

// idleTime returns the time since the last update, or since the start of the session.
func (s *session) idleTime(now time.Time) time.Duration {
	if s.lastUpdateAt.IsZero() {
		return now.Sub(s.openedAt)
	}
	return now.Sub(s.lastUpdateAt)
}

// healthy reports whether a replica with quorum contact has echoed a recent request. The
// arrival of an update alone does not show that, since the update may have been delayed.
func (s *session) healthy(now time.Time) bool {
	return !s.acknowledgedAt.IsZero() && now.Sub(s.acknowledgedAt) <= replicaselect.SessionTimeout
}

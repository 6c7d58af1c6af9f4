package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/state"
)

var (
	errReplacedSession = status.Error(codes.Aborted, "another session of the same address has begun")
	errSilentSession   = status.Error(codes.DeadlineExceeded, "the daemon has sent nothing for too long")
)

// session is one daemon that attends this replica.
type session struct {
	service *Service
	address string
	cancel  context.CancelCauseFunc
	asked   chan struct{} // a request came
	held    uint64        // index that the daemon has got, owned by send

	mu     sync.Mutex
	member *api.FleetMember // as announced last
	echo   uint64
	heard  time.Time
}

func (se *session) note(r *api.AttendRequest) {
	se.mu.Lock()
	defer se.mu.Unlock()
	if r.Member != nil {
		se.member = r.Member
	}
	se.echo = r.Sequence
	se.heard = se.service.clock()
}

// entry is the member entry that this session calls for.
func (se *session) entry(home uint64) *api.FleetMember {
	se.mu.Lock()
	defer se.mu.Unlock()
	m := proto.CloneOf(se.member)
	m.Home = home
	return m
}

// receive takes the requests of the daemon until the stream ends.
func (se *session) receive(stream grpc.BidiStreamingServer[api.AttendRequest, api.AttendUpdate], end context.CancelCauseFunc, announced func()) {
	for {
		r, err := stream.Recv()
		if err != nil {
			end(err)
			return
		}
		if m := r.GetMember(); m != nil && m.PeerAddress != se.address {
			end(status.Error(codes.InvalidArgument, "a session cannot change its peer address"))
			return
		}
		se.note(r)
		if r.Member != nil {
			announced()
		}
		select {
		case se.asked <- struct{}{}:
		default:
		}
	}
}

// send sends an update when the state changed, when the first request came and
// at least once in updateEvery.
func (se *session) send(ctx context.Context, stream grpc.BidiStreamingServer[api.AttendRequest, api.AttendUpdate]) error {
	source := se.service.control.ConfigSource()
	var controls []*api.ReplicaRef
	ticker := time.NewTicker(updateEvery)
	defer ticker.Stop()
	for {
		changed := source.Changed() // taken before the state is read
		u := se.update()
		if current := se.service.controls(); !sameReplicas(current, controls) {
			controls, u.Controls = current, current
		}
		if err := stream.Send(u); err != nil {
			return err
		}
		se.held = max(se.held, u.Index)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-changed:
			ticker.Reset(updateEvery)
		case <-ticker.C:
			if se.silent() {
				return errSilentSession
			}
		}
	}
}

func (se *session) silent() bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.service.clock().Sub(se.heard) > sessionSilence
}

// update describes what changed since the last one. The age is read before the
// state: state that is applied in between only makes the statement weaker.
func (se *session) update() *api.AttendUpdate {
	age, confirmed := se.service.control.ConfirmationAge()
	var u *api.AttendUpdate
	se.service.readFleet(func(f *state.Fleet) { u = f.Since(se.held) })
	u.ConfirmationAgeMs = -1
	if confirmed {
		u.ConfirmationAgeMs = (age + time.Millisecond - 1).Milliseconds()
	}
	se.mu.Lock()
	defer se.mu.Unlock()
	u.Echo = se.echo
	return u
}

// controls lists the replicas of the group, voters first.
func (s *Service) controls() []*api.ReplicaRef {
	set := s.control.View().Set
	return append(append([]*api.ReplicaRef(nil), set.GetVoters()...), set.GetLearners()...)
}

func sameReplicas(a, b []*api.ReplicaRef) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !proto.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

// isEnd reports whether an error only says that a stream was closed.
func isEnd(err error) bool {
	return errors.Is(err, context.Canceled) || status.Code(err) == codes.Canceled
}

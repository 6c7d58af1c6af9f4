package fleet

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/statemachine"
)

// Reasons for the end of a session, as the daemon sees them.
var (
	errReplacedSession = status.Error(codes.Aborted, "another session of the same address has begun")
	errSilentSession   = status.Error(codes.DeadlineExceeded, "the daemon has sent nothing for too long")
)

// attendee is a daemon that attends this replica.
type attendee struct {
	service *SessionServer
	address string
	cancel  context.CancelCauseFunc
	held    uint64        // index that the daemon has got, owned by send
	asked   chan struct{} // a request waits for its answer

	mu     sync.Mutex
	member *api.FleetMember // as announced last, nil while the daemon only looks
	echo   uint64
	heard  time.Time
}

func (at *attendee) note(r *api.AttendRequest) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if r.Member != nil {
		at.member = r.Member
	}
	at.echo = r.Sequence
	at.heard = at.service.clock()
	select {
	case at.asked <- struct{}{}:
	default:
	}
}

// entry is the member entry that the daemon announced here, nil if it only
// looks.
func (at *attendee) entry(home uint64) *api.FleetMember {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.member == nil {
		return nil
	}
	m := proto.CloneOf(at.member)
	m.Home = home
	return m
}

// receive takes the requests of the daemon until the stream ends.
func (at *attendee) receive(stream grpc.BidiStreamingServer[api.AttendRequest, api.AttendUpdate], end context.CancelCauseFunc, announced func(*attendee)) {
	for {
		r, err := stream.Recv()
		if err != nil {
			end(err)
			return
		}
		if m := r.GetMember(); m != nil && m.PeerAddress != at.address {
			end(status.Error(codes.InvalidArgument, "a session cannot change its peer address"))
			return
		}
		at.note(r)
		if r.Member != nil {
			announced(at)
		}
	}
}

// send sends an update when the state changed, when the replica got in touch with
// its quorum and in answer to each request.
func (at *attendee) send(ctx context.Context, stream grpc.BidiStreamingServer[api.AttendRequest, api.AttendUpdate]) error {
	source := at.service.control.ConfigSource()
	var controls []*api.ReplicaRef
	ticker := time.NewTicker(silenceEvery)
	defer ticker.Stop()
	for {
		select {
		case <-at.asked: // answered with what follows
		default:
		}
		changed, regained := source.Changed(), at.service.touch.regained() // taken before the state is read
		u := at.update()
		if current := at.service.controls(); !sameReplicas(current, controls) {
			controls, u.Controls = current, current
		}
		if err := stream.Send(u); err != nil {
			return err
		}
		at.held = max(at.held, u.Index)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-changed:
		case <-regained:
		case <-at.asked:
		case <-ticker.C:
			if at.silent() {
				return errSilentSession
			}
		}
	}
}

func (at *attendee) silent() bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.service.clock().Sub(at.heard) > sessionSilence
}

// update describes what changed since the last one. The age is read before the
// state: state that is applied in between only makes the statement weaker.
func (at *attendee) update() *api.AttendUpdate {
	age, confirmed := at.service.control.ConfirmationAge()
	var u *api.AttendUpdate
	at.service.readFleet(func(f *statemachine.Fleet) { u = f.ChangesSince(at.held) })
	u.ConfirmationAgeMs = -1
	if confirmed {
		u.ConfirmationAgeMs = (age + time.Millisecond - 1).Milliseconds()
	}
	at.mu.Lock()
	defer at.mu.Unlock()
	u.Echo = at.echo
	return u
}

// controls lists the replicas of the group, voters first.
func (s *SessionServer) controls() []*api.ReplicaRef {
	set := s.control.RaftStatus().ReplicaSet
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

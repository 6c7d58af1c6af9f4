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

// Errors that end a session, as the daemon receives them.
var (
	errReplacedSession = status.Error(codes.Aborted, "another session of the same peer address was opened")
	errIdleSession     = status.Error(codes.DeadlineExceeded, "the daemon sent no request within the idle timeout")
)

// daemonSession is a session of a daemon with this replica.
type daemonSession struct {
	server    *SessionServer
	address   string
	cancel    context.CancelCauseFunc
	sentIndex uint64        // index up to which the daemon has the state; owned by send
	requested chan struct{} // receives a value when a request awaits an update

	mu           sync.Mutex
	member       *api.FleetMember // last announced entry, nil in an observer session
	lastSequence uint64
	lastContact  time.Time
}

func (ds *daemonSession) recordRequest(r *api.AttendRequest) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if r.Member != nil {
		ds.member = r.Member
	}
	ds.lastSequence = r.Sequence
	ds.lastContact = ds.server.clock()
	select {
	case ds.requested <- struct{}{}:
	default:
	}
}

// entry returns the member entry that the daemon announced on this session, nil in an observer
// session.
func (ds *daemonSession) entry(home uint64) *api.FleetMember {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if ds.member == nil {
		return nil
	}
	m := proto.CloneOf(ds.member)
	m.Home = home
	return m
}

// receive processes the requests of the daemon until the stream ends.
func (ds *daemonSession) receive(stream grpc.BidiStreamingServer[api.AttendRequest, api.AttendUpdate], end context.CancelCauseFunc, announced func(*daemonSession)) {
	for {
		r, err := stream.Recv()
		if err != nil {
			end(err)
			return
		}
		if m := r.GetMember(); m != nil && m.PeerAddress != ds.address {
			end(status.Error(codes.InvalidArgument, "a session cannot change its peer address"))
			return
		}
		ds.recordRequest(r)
		if r.Member != nil {
			announced(ds)
		}
	}
}

// send sends an update when the state has changed, when the replica has regained quorum contact
// and in response to each request.
func (ds *daemonSession) send(ctx context.Context, stream grpc.BidiStreamingServer[api.AttendRequest, api.AttendUpdate]) error {
	source := ds.server.control.ConfigSource()
	var controls []*api.ReplicaRef
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ds.requested: // the next update is also the response to this request
		default:
		}
		changed, regained := source.Changed(), ds.server.quorumContact.regained() // before the state is read, so that no change is missed
		u := ds.update()
		if current := ds.server.controlReplicas(); !sameReplicas(current, controls) {
			controls, u.Controls = current, current
		}
		if err := stream.Send(u); err != nil {
			return err
		}
		ds.sentIndex = max(ds.sentIndex, u.Index)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-changed:
		case <-regained:
		case <-ds.requested:
		case <-ticker.C:
			if ds.isIdle() {
				return errIdleSession
			}
		}
	}
}

func (ds *daemonSession) isIdle() bool {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return ds.server.clock().Sub(ds.lastContact) > sessionIdleTimeout
}

// update returns the changes since the last update. The confirmation age is read before the
// state: if state is applied in between, the age is a weaker but still valid bound.
func (ds *daemonSession) update() *api.AttendUpdate {
	age, confirmed := ds.server.control.ConfirmationAge()
	var u *api.AttendUpdate
	ds.server.readFleet(func(f *statemachine.Fleet) { u = f.ChangesSince(ds.sentIndex) })
	u.ConfirmationAgeMs = -1
	if confirmed {
		u.ConfirmationAgeMs = (age + time.Millisecond - 1).Milliseconds()
	}
	ds.mu.Lock()
	defer ds.mu.Unlock()
	u.Echo = ds.lastSequence
	return u
}

// controlReplicas returns the replicas of the group, voters first.
func (s *SessionServer) controlReplicas() []*api.ReplicaRef {
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

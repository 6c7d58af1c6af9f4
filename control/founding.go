package control

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// A group is formed by one replica alone, the founder: the configured peer
// with the lowest id. It forms the group only after every configured peer has
// told it its disk id and that it holds no state. All others wait for the
// founder's entries. See "Decisions: control" in docs/design.md.

// Introduce tells who this process is and whether it holds state.
func (s *Server) Introduce(context.Context, *api.IntroduceRequest) (*api.IntroduceReply, error) {
	return &api.IntroduceReply{Replica: s.self, Empty: s.empty(), ClaimShards: uint32(s.cfg.ClaimShards)}, nil
}

// empty reports whether no group holds an entry or a snapshot.
func (s *Server) empty() bool {
	return !slices.ContainsFunc(s.groups, func(g *group) bool { return !g.empty.Load() })
}

func (s *Server) founder() bool {
	if s.cfg.Seeded != nil {
		return s.cfg.Seeded.FirstStart && s.self.Address == slices.Min(s.cfg.Seeded.Seeds)
	}
	for id := range s.cfg.Peers {
		if id < s.cfg.ReplicaID {
			return false
		}
	}
	return !s.cfg.Join
}

// resumeFounding completes the founding of a process that stopped in the
// middle of it.
func (s *Server) resumeFounding() error {
	if len(s.directory.Identity.BootstrapEntry) == 0 {
		return nil
	}
	set := &api.ReplicaSet{}
	if err := proto.Unmarshal(s.directory.Identity.BootstrapEntry, set); err != nil {
		return &ConfigError{"the replica set in the identity file does not decode"}
	}
	for _, g := range s.groups {
		if !g.empty.Load() {
			continue
		}
		if err := g.found(set.Voters); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) foundIfEmpty(ctx context.Context) error {
	if !s.founder() || !s.empty() {
		return nil
	}
	voters, err := s.gatherVoters(ctx)
	if err != nil || ctx.Err() != nil {
		return err
	}
	id := s.directory.Identity
	if id.BootstrapEntry, err = proto.Marshal(&api.ReplicaSet{Voters: voters}); err != nil {
		return err
	}
	if err := s.directory.SaveIdentity(id); err != nil {
		return err
	}
	s.cfg.Logger.Info().Int("voters", len(voters)).Msg("forming a new group")
	return s.resumeFounding()
}

// gatherVoters returns the first replica set. A seeded group starts with its
// founder alone and grows by those who join it.
func (s *Server) gatherVoters(ctx context.Context) ([]*api.ReplicaRef, error) {
	voters := []*api.ReplicaRef{s.self}
	for id, address := range s.cfg.Peers {
		if id == s.cfg.ReplicaID {
			continue
		}
		ref, err := s.askEmpty(ctx, id, address)
		if err != nil || ref == nil {
			return nil, err
		}
		voters = append(voters, ref)
	}
	slices.SortFunc(voters, func(a, b *api.ReplicaRef) int { return int(a.Id) - int(b.Id) })
	return voters, nil
}

// askEmpty waits until a peer answers. It returns nil when the context ends.
func (s *Server) askEmpty(ctx context.Context, id uint64, address string) (*api.ReplicaRef, error) {
	for ctx.Err() == nil {
		reply, err := s.introduce(ctx, address)
		if err != nil {
			s.cfg.Logger.Info().Uint64("peer", id).Str("address", address).Err(err).Msg("waiting for a peer to form the group")
			select {
			case <-ctx.Done():
			case <-time.After(reconnectDelay):
			}
			continue
		}
		switch {
		case reply.Replica.GetId() != id:
			return nil, &BootstrapError{id, address, "answers under another id"}
		case !reply.Empty:
			return nil, &BootstrapError{id, address, "already holds state"}
		case int(reply.ClaimShards) != s.cfg.ClaimShards:
			return nil, &BootstrapError{id, address, "has another number of claim_shards"}
		}
		return &api.ReplicaRef{Id: id, DiskId: reply.Replica.DiskId, Address: address}, nil
	}
	return nil, nil
}

// introduceTimeout covers a connection across regions with some retransmission.
const introduceTimeout = 2 * time.Second

func (s *Server) introduce(ctx context.Context, address string) (*api.IntroduceReply, error) {
	conn, err := dial(&s.cfg, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }() // the reply is in or lost
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()
	return api.NewReplicaClient(conn).Introduce(ctx, &api.IntroduceRequest{}, grpc.WaitForReady(true))
}

// formed returns an error until a quorum of every group holds its first entry.
// Before that only the founder's disk may hold a group, and its loss could not
// be repaired: a changed configuration must not be accepted while claims could
// still need a new start of the whole system.
func (s *Server) formed() error {
	if s.allFormed.Load() {
		return nil
	}
	for _, g := range s.groups {
		if v := g.view.Load(); v == nil || v.status.Commit == 0 || !s.enoughVoters(v) {
			return &GroupFormingError{Group: g.id}
		}
	}
	s.allFormed.Store(true)
	return nil
}

// enoughVoters reports whether a seeded group has grown to the size that bears
// the promised losses.
func (s *Server) enoughVoters(v *view) bool {
	if s.cfg.Seeded == nil {
		return true
	}
	set := v.status.ReplicaSet
	return v.status.ReplicaSetCommitted && len(set.GetOldVoters()) == 0 && len(set.GetVoters()) >= s.cfg.Seeded.quorumSize()
}

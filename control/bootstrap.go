package control

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// A group is bootstrapped by a single replica: the configured peer with the lowest id. It does
// so only after every configured peer has returned its disk id and reported that it has no
// state. All other replicas wait for entries from the bootstrap replica. See "Decisions:
// control" in docs/design.md.

// Introduce implements api.ReplicaServer: it returns the identity of this replica and whether
// it has no state.
func (s *Server) Introduce(context.Context, *api.IntroduceRequest) (*api.IntroduceReply, error) {
	return &api.IntroduceReply{Replica: s.self, Empty: s.empty(), ClaimShards: uint32(s.cfg.ClaimShards)}, nil
}

// empty reports whether no group has an entry or a snapshot.
func (s *Server) empty() bool {
	return !slices.ContainsFunc(s.groups, func(g *group) bool { return !g.empty.Load() })
}

// isBootstrapReplica reports whether this replica is the one that may bootstrap the groups.
func (s *Server) isBootstrapReplica() bool {
	if s.cfg.Discovery != nil {
		return s.cfg.Discovery.FirstStart && s.self.Address == slices.Min(s.cfg.Discovery.Seeds)
	}
	for id := range s.cfg.Peers {
		if id < s.cfg.ReplicaID {
			return false
		}
	}
	return !s.cfg.Join
}

// resumeBootstrap bootstraps the groups that are still empty, from the replica set in the
// identity file. It also completes a bootstrap that a stop of the process interrupted.
func (s *Server) resumeBootstrap() error {
	if len(s.directory.Identity.BootstrapReplicaSet) == 0 {
		return nil
	}
	set := &api.ReplicaSet{}
	if err := proto.Unmarshal(s.directory.Identity.BootstrapReplicaSet, set); err != nil {
		return &ConfigError{"the replica set in the identity file cannot be decoded"}
	}
	for _, g := range s.groups {
		if !g.empty.Load() {
			continue
		}
		if err := g.bootstrap(set.Voters); err != nil {
			return err
		}
	}
	return nil
}

// bootstrapIfEmpty bootstraps all groups if this replica is the one to do so and has no state.
func (s *Server) bootstrapIfEmpty(ctx context.Context) error {
	if !s.isBootstrapReplica() || !s.empty() {
		return nil
	}
	voters, err := s.collectInitialVoters(ctx)
	if err != nil || ctx.Err() != nil {
		return err
	}
	id := s.directory.Identity
	if id.BootstrapReplicaSet, err = proto.Marshal(&api.ReplicaSet{Voters: voters}); err != nil {
		return err
	}
	if err := s.directory.SaveIdentity(id); err != nil {
		return err
	}
	s.cfg.Logger.Info().Int("voters", len(voters)).Msg("bootstrapping a new group")
	return s.resumeBootstrap()
}

// collectInitialVoters returns the initial replica set. With discovery, a group starts
// with the bootstrap replica alone and grows as other replicas join.
func (s *Server) collectInitialVoters(ctx context.Context) ([]*api.ReplicaRef, error) {
	voters := []*api.ReplicaRef{s.self}
	for id, address := range s.cfg.Peers {
		if id == s.cfg.ReplicaID {
			continue
		}
		ref, err := s.awaitEmptyPeer(ctx, id, address)
		if err != nil || ref == nil {
			return nil, err
		}
		voters = append(voters, ref)
	}
	slices.SortFunc(voters, func(a, b *api.ReplicaRef) int { return int(a.Id) - int(b.Id) })
	return voters, nil
}

// awaitEmptyPeer waits until a peer responds and checks that it may be an initial voter. It
// returns nil when the context ends.
func (s *Server) awaitEmptyPeer(ctx context.Context, id uint64, address string) (*api.ReplicaRef, error) {
	for ctx.Err() == nil {
		reply, err := s.introduce(ctx, address)
		if err != nil {
			s.cfg.Logger.Info().Uint64("peer", id).Str("address", address).Err(err).Msg("waiting for a peer before bootstrap")
			select {
			case <-ctx.Done():
			case <-time.After(reconnectDelay):
			}
			continue
		}
		switch {
		case reply.Replica.GetId() != id:
			return nil, &BootstrapError{id, address, "has a different id"}
		case !reply.Empty:
			return nil, &BootstrapError{id, address, "already has state"}
		case int(reply.ClaimShards) != s.cfg.ClaimShards:
			return nil, &BootstrapError{id, address, "has a different number of claim_shards"}
		}
		return &api.ReplicaRef{Id: id, DiskId: reply.Replica.DiskId, Address: address}, nil
	}
	return nil, nil
}

// introduceTimeout covers a connection across regions with some retransmissions.
const introduceTimeout = 2 * time.Second

// introduce calls Introduce at the process at an address.
func (s *Server) introduce(ctx context.Context, address string) (*api.IntroduceReply, error) {
	conn, err := dial(&s.cfg, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }() // the call has ended
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()
	return api.NewReplicaClient(conn).Introduce(ctx, &api.IntroduceRequest{}, grpc.WaitForReady(true))
}

// requireBootstrapped returns an error until every group has committed its first entry and has
// enough voters. Until then a group may exist only on the disk of the bootstrap replica. If that
// disk is lost, the whole system has to be bootstrapped again, so no change of the configuration
// may have been accepted before all groups, including the claim groups, are bootstrapped.
func (s *Server) requireBootstrapped() error {
	if s.allBootstrapped.Load() {
		return nil
	}
	for _, g := range s.groups {
		if v := g.view.Load(); v == nil || v.status.Commit == 0 || !s.hasMinVoters(v) {
			return &BootstrapIncompleteError{Group: g.id}
		}
	}
	s.allBootstrapped.Store(true)
	return nil
}

// hasMinVoters reports whether the group has enough voters to tolerate the configured number of
// failures. Without discovery it always has.
func (s *Server) hasMinVoters(v *view) bool {
	if s.cfg.Discovery == nil {
		return true
	}
	set := v.status.ReplicaSet
	return v.status.ReplicaSetCommitted && len(set.GetOldVoters()) == 0 && len(set.GetVoters()) >= s.cfg.Discovery.minVoters()
}

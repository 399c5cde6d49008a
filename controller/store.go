package controller

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/failover"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/view"
)

const (
	groupPrefix = "groups/"
	leasePrefix = "leases/"
)

var errNoServer = errors.New("server is not in the current view of the group")

// lease is the value of the object "leases/<group>".
type lease struct {
	// Holder is the incarnation that holds the lease.
	Holder string `json:"holder"`
}

func (g *Group) leaseKey() string { return leasePrefix + g.name }
func (g *Group) groupKey() string { return groupPrefix + g.name }

func (g *Group) readLease(ctx context.Context, a failover.ReadLease) {
	obj, err := g.Store.Get(ctx, store.PurposeLease, g.leaseKey())
	if errors.Is(err, store.ErrNotFound) {
		g.Post(failover.LeaseResult{Asked: a.Asked})
		return
	}
	var l lease
	if err == nil {
		err = json.Unmarshal(obj.Value, &l)
	}
	g.Post(failover.LeaseResult{Holder: l.Holder, Version: obj.Version, Asked: a.Asked, Err: err})
}

func (g *Group) renewLease(ctx context.Context, a failover.RenewLease) {
	value, err := json.Marshal(lease{Holder: a.Holder})
	if err != nil {
		g.Post(failover.LeaseResult{Asked: a.Asked, Err: err})
		return
	}
	version, err := g.Store.Put(ctx, store.PurposeLease, g.leaseKey(), value, a.ExpectVersion)
	if err != nil {
		g.Post(failover.LeaseResult{Asked: a.Asked, Err: err})
		return
	}
	g.Post(failover.LeaseResult{Holder: a.Holder, Version: version, Asked: a.Asked})
}

func (g *Group) readGroup(ctx context.Context) {
	group, version, err := ReadGroup(ctx, g.Store, g.name)
	if err != nil {
		g.Post(failover.GroupLearned{Err: err})
		return
	}
	g.Views.Adopt(group)
	g.Post(failover.GroupLearned{Group: *group, Version: version})
}

// ReadGroup reads the object of a group and returns the group and the object's version.
func ReadGroup(ctx context.Context, objects store.Store, name string) (*view.Group, store.Version, error) {
	obj, err := objects.Get(ctx, store.PurposeGroup, groupPrefix+name)
	if err != nil {
		return nil, 0, err
	}
	group, err := decodeGroup(obj)
	return group, obj.Version, err
}

func decodeGroup(obj store.Object) (*view.Group, error) {
	group := &view.Group{}
	err := json.Unmarshal(obj.Value, group)
	group.Version = int64(obj.Version)
	return group, errors.Wrap(err, obj.Key)
}

func (g *Group) putGroup(ctx context.Context, group view.Group, expect store.Version) (store.Version, error) {
	value, err := json.Marshal(group)
	if err != nil {
		return 0, errors.Wrap(err, "group")
	}
	version, err := g.Store.Put(ctx, store.PurposeGroup, g.groupKey(), value, expect)
	g.Log.Info("group_put",
		zap.String("group", g.name),
		zap.Uint64("term", uint64(group.Term)),
		zap.Uint64("reserved", uint64(group.Reserved)),
		zap.Error(err))
	return version, err
}

func (g *Group) reserve(ctx context.Context, a failover.Reserve) {
	version, err := g.putGroup(ctx, a.Group, a.ExpectVersion)
	g.Post(failover.ReserveResult{Term: a.Group.Reserved, Version: version, Err: err})
}

func (g *Group) publish(ctx context.Context, a failover.Publish) {
	version, err := g.putGroup(ctx, a.Group, a.ExpectVersion)
	g.Post(failover.PublishResult{Term: a.Group.Term, Version: version, Err: err})
}

package scenario

import (
	"encoding/json"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/failover"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/view"
	"time"
)

func (v *vm) readLease(asked clock.Time) {
	v.w.getFrom(v.node, leaseKey(groupName), func(o store.Object, err error) {
		if err == store.ErrNotFound {
			err = nil
		}
		var l leaseValue
		if len(o.Value) > 0 {
			mustUnmarshal(o.Value, &l)
		}
		v.step(failover.LeaseResult{Holder: l.Holder, Version: o.Version, Asked: asked, Err: err})
	})
}

func (v *vm) renewLease(a failover.RenewLease) {
	value := mustMarshal(leaseValue{Holder: a.Holder})
	v.w.putFrom(v.node, leaseKey(groupName), value, a.ExpectVersion, func(version store.Version, err error) {
		v.step(failover.LeaseResult{Holder: a.Holder, Version: version, Asked: a.Asked, Err: err})
	})
}

func (v *vm) readGroup() {
	v.w.getFrom(v.node, groupKey(groupName), func(o store.Object, err error) {
		ev := failover.GroupLearned{Version: o.Version, Err: err}
		if err == nil {
			mustUnmarshal(o.Value, &ev.Group)
		}
		v.step(ev)
	})
}

func (v *vm) putGroup(g view.Group, expect store.Version, done func(store.Version, error)) {
	v.w.putFrom(v.node, groupKey(g.Name), mustMarshal(g), expect, done)
}

// watchInterval is how often a VM reads the group's object, in place of a watch.
const watchInterval = 200 * time.Millisecond

func (v *vm) watch() {
	v.readGroup()
	v.w.after(v.node, watchInterval, v.watch)
}

func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the fakes' own values always encode
	}
	return b
}

func mustUnmarshal(b []byte, v any) {
	if err := json.Unmarshal(b, v); err != nil {
		panic(err) // the fakes' own values always decode
	}
}

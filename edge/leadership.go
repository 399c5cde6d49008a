package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/platform/duty"
	"endivemoor.example/endivemoor/platform/objects"
	"endivemoor.example/endivemoor/promoter"
	"endivemoor.example/endivemoor/target"
)

// leadershipRecords reads and writes the leadership records in the store.
type leadershipRecords struct{ edge *Edge }

// readBackInterval is the pause between two attempts to read back a change whose reply was lost.
const readBackInterval = 50 * time.Millisecond

var errChangedByOther = errors.New("read back leadership record: another VM has changed it")

// Begin records a promotion attempt on top of the known record.
func (r leadershipRecords) Begin(ctx context.Context, known *catalog.LeadershipRecord, a catalog.Attempt) (*catalog.LeadershipRecord, error) {
	spec := leadershipRecord{Primary: known.Primary, Holder: a.Holder, Attempt: &attemptRecord{Nonce: a.Nonce, Deposed: a.Deposed}}
	return r.write(ctx, known, spec)
}

// End removes the attempt from the record.
func (r leadershipRecords) End(ctx context.Context, record *catalog.LeadershipRecord, primary target.ID) error {
	_, err := r.write(ctx, record, leadershipRecord{Primary: primary, Holder: record.Holder})
	return err
}

// write changes a record that has the known revision. If the reply is lost, write reads the record
// back: the change may have been made, and may still be made later as long as the record has the
// requested revision. A change that was made in a later era of the store than the one in which it
// was sent is invalid.
func (r leadershipRecords) write(ctx context.Context, known *catalog.LeadershipRecord, spec leadershipRecord) (*catalog.LeadershipRecord, error) {
	name := prefixLeadership + known.Service
	spec.Era = r.edge.eras.current()
	o, err := r.put(ctx, name, known.Revision, spec)
	for errors.Is(err, objects.ErrNoAnswer) {
		if o, err = r.readBack(ctx, name, known.Revision, spec); err != nil {
			if !wait.For(ctx, readBackInterval) {
				return nil, ctx.Err()
			}
		}
	}
	if err != nil {
		return nil, err
	}
	current, err := decodeLeadershipRecord(known.Service, o)
	if err != nil {
		return nil, err
	}
	r.edge.catalog.SetLeadershipRecord(current)
	if current.Era != catalog.EraOf(current.Revision) {
		return nil, &objects.EraError{Done: true}
	}
	return current, nil
}

func (r leadershipRecords) put(ctx context.Context, name string, revision int64, spec leadershipRecord) (*objects.Object, error) {
	if revision == 0 {
		return r.edge.store.Create(ctx, kindFleet, name, spec)
	}
	return r.edge.store.Replace(ctx, kindFleet, name, revision, spec)
}

// Current reads the service's record from the store and applies it to the catalog.
func (r leadershipRecords) Current(ctx context.Context, service string) (*catalog.LeadershipRecord, error) {
	o, err := r.edge.store.Get(ctx, kindFleet, prefixLeadership+service)
	if errors.Is(err, objects.ErrNotFound) {
		return &catalog.LeadershipRecord{Service: service, Era: r.edge.eras.missingRecordEra()}, nil
	}
	if err != nil {
		return nil, err
	}
	current, err := decodeLeadershipRecord(service, o)
	if err != nil {
		return nil, err
	}
	r.edge.catalog.SetLeadershipRecord(current)
	return current, nil
}

// readBack returns the record if it contains this VM's change, and errChangedByOther if it contains
// another one. If the record is unchanged, readBack sends the same change again. Both requests name
// the same revision, so at most one of them takes effect.
func (r leadershipRecords) readBack(ctx context.Context, name string, before int64, spec leadershipRecord) (*objects.Object, error) {
	o, err := r.edge.store.Get(ctx, kindFleet, name)
	switch {
	case errors.Is(err, objects.ErrNotFound) && before == 0:
		return r.put(ctx, name, before, spec)
	case err != nil:
		return nil, errors.WithMessage(objects.ErrNoAnswer, err.Error())
	case o.Meta.Revision == before:
		return r.put(ctx, name, before, spec)
	}
	current, err := decodeLeadershipRecord("", o)
	if err != nil {
		return nil, err
	}
	if sameAttempt(current, spec) {
		return o, nil
	}
	return nil, errChangedByOther
}

// sameAttempt reports whether a record contains the change that this VM sent.
func sameAttempt(current *catalog.LeadershipRecord, spec leadershipRecord) bool {
	if current.Attempt == nil || spec.Attempt == nil {
		return current.Attempt == nil && spec.Attempt == nil && current.Primary == spec.Primary
	}
	return current.Attempt.Nonce == spec.Attempt.Nonce
}

// designator adapts the platform's client to promoter.Designator.
type designator struct{ client *duty.Client }

// Promote makes a target the primary of a service.
func (d designator) Promote(ctx context.Context, holder string, token int64, service string, id target.ID) error {
	err := d.client.Promote(ctx, holder, token, service, id)
	if errors.Is(err, duty.ErrNotRunning) {
		return errors.WithMessage(promoter.ErrNotRunning, err.Error())
	}
	return err
}

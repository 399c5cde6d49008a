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

// reigns keeps the records of leadership in the store.
type reigns struct{ edge *Edge }

// readBackEvery is the pause between two tries to learn what became of a
// change whose answer was lost.
const readBackEvery = 50 * time.Millisecond

var errTaken = errors.New("another VM has changed the record")

// Begin records an attempt on top of the record that is known.
func (r reigns) Begin(ctx context.Context, known *catalog.LeadershipRecord, a catalog.Attempt) (*catalog.LeadershipRecord, error) {
	spec := reignRecord{Primary: known.Primary, Holder: a.Holder, Attempt: &attemptRecord{Nonce: a.Nonce, Deposed: a.Deposed}}
	return r.write(ctx, known, spec)
}

// End takes the attempt away.
func (r reigns) End(ctx context.Context, held *catalog.LeadershipRecord, primary target.ID) error {
	_, err := r.write(ctx, held, reignRecord{Primary: primary, Holder: held.Holder})
	return err
}

// write changes a record that has the known revision. What became of a change
// whose answer was lost is read back: it may have been made, and it may still
// be made later, as long as the record has the revision that it asks for. One that was
// made in a later era of the store than that of the revision counts for nothing.
func (r reigns) write(ctx context.Context, known *catalog.LeadershipRecord, spec reignRecord) (*catalog.LeadershipRecord, error) {
	name := prefixReign + known.Service
	spec.Era = r.edge.eras.current()
	o, err := r.put(ctx, name, known.Revision, spec)
	for errors.Is(err, objects.ErrNoAnswer) {
		if o, err = r.readBack(ctx, name, known.Revision, spec); err != nil {
			if !wait.For(ctx, readBackEvery) {
				return nil, ctx.Err()
			}
		}
	}
	if err != nil {
		return nil, err
	}
	now, err := decodeReign(known.Service, o)
	if err != nil {
		return nil, err
	}
	r.edge.catalog.SetLeadershipRecord(now)
	if now.Era != catalog.EraOf(now.Revision) {
		return nil, &objects.EraError{Done: true}
	}
	return now, nil
}

func (r reigns) put(ctx context.Context, name string, revision int64, spec reignRecord) (*objects.Object, error) {
	if revision == 0 {
		return r.edge.store.Create(ctx, kindFleet, name, spec)
	}
	return r.edge.store.Replace(ctx, kindFleet, name, revision, spec)
}

// Current returns the service's record as the store has it now, and takes it over.
func (r reigns) Current(ctx context.Context, service string) (*catalog.LeadershipRecord, error) {
	o, err := r.edge.store.Get(ctx, kindFleet, prefixReign+service)
	if errors.Is(err, objects.ErrNotFound) {
		return &catalog.LeadershipRecord{Service: service, Era: r.edge.eras.ofMissing()}, nil
	}
	if err != nil {
		return nil, err
	}
	now, err := decodeReign(service, o)
	if err != nil {
		return nil, err
	}
	r.edge.catalog.SetLeadershipRecord(now)
	return now, nil
}

// readBack returns the record if it carries our change, and errTaken if it
// carries another's. If it is unchanged the very same change is sent again: it
// asks for the same revision, so that at most one of the two is made.
func (r reigns) readBack(ctx context.Context, name string, before int64, spec reignRecord) (*objects.Object, error) {
	o, err := r.edge.store.Get(ctx, kindFleet, name)
	switch {
	case errors.Is(err, objects.ErrNotFound) && before == 0:
		return r.put(ctx, name, before, spec)
	case err != nil:
		return nil, errors.WithMessage(objects.ErrNoAnswer, err.Error())
	case o.Meta.Revision == before:
		return r.put(ctx, name, before, spec)
	}
	now, err := decodeReign("", o)
	if err != nil {
		return nil, err
	}
	if sameAttempt(now, spec) {
		return o, nil
	}
	return nil, errTaken
}

// sameAttempt reports whether a record carries the change that we sent.
func sameAttempt(now *catalog.LeadershipRecord, spec reignRecord) bool {
	if now.Attempt == nil || spec.Attempt == nil {
		return now.Attempt == nil && spec.Attempt == nil && now.Primary == spec.Primary
	}
	return now.Attempt.Nonce == spec.Attempt.Nonce
}

// designator makes the platform's call in the promoter's terms.
type designator struct{ client *duty.Client }

// Promote designates the target that takes over a service.
func (d designator) Promote(ctx context.Context, holder string, token int64, service string, id target.ID) error {
	err := d.client.Promote(ctx, holder, token, service, id)
	if errors.Is(err, duty.ErrNotRunning) {
		return errors.WithMessage(promoter.ErrNotRunning, err.Error())
	}
	return err
}

package controller

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/finding"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/profile/inifile"
	"endivemoor.example/endivemoor/publication"
	"endivemoor.example/endivemoor/view"
)

// Published is one published set of profiles in the form that the store and peers send it.
type Published struct {
	Generation profile.Generation
	Digest     string
	Text       []byte
}

func (p Published) version() publication.Version {
	return publication.Version{Generation: p.Generation, Digest: p.Digest}
}

// Configuration holds the newest published set of profiles that this VM has received and puts it
// in force. It is the only writer of view.View.Profiles.
type Configuration struct {
	views *view.Holder
	log   *zap.Logger

	mu      sync.Mutex
	current Published
	since   time.Time
}

// NewConfiguration returns a Configuration without a set.
func NewConfiguration(views *view.Holder, log *zap.Logger) *Configuration {
	return &Configuration{views: views, log: log}
}

// Current returns the set in force; its generation is 0 if there is none.
func (c *Configuration) Current() Published {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Since returns the wall-clock time at which this VM put the current set in force. It is
// informational: no decision depends on it.
func (c *Configuration) Since() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since
}

// Offer puts p in force if publication.Accept accepts it, and reports whether it did. source names
// the origin in logs: the store or a peer.
//
// Failure guarded against: a daemon that was paused for an hour, or a peer that restarted during
// an outage, offers an older set, and a retired profile is in force again. Generations only grow,
// and the text must match the digest that the store's pointer names, so a damaged copy is never
// put in force.
func (c *Configuration) Offer(p Published, source string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch publication.Accept(c.current.version(), p.version()) {
	case publication.Take:
		return c.apply(p, source)
	case publication.Forked:
		c.log.Error("configuration_forked",
			zap.Uint64("generation", uint64(p.Generation)), zap.String("digest", p.Digest), zap.String("source", source))
	}
	return false
}

func (c *Configuration) apply(p Published, source string) bool {
	set, err := c.parse(p)
	if err != nil {
		c.log.Error("configuration_refused",
			zap.Uint64("generation", uint64(p.Generation)), zap.String("source", source), zap.Error(err))
		return false
	}
	c.current, c.since = p, time.Now()
	c.views.Update(func(v *view.View) { v.Profiles = set })
	c.log.Info("configuration_in_force",
		zap.Uint64("generation", uint64(p.Generation)), zap.String("digest", p.Digest), zap.String("source", source))
	return true
}

func (c *Configuration) parse(p Published) (*profile.Set, error) {
	if profile.Digest(p.Text) != p.Digest {
		return nil, finding.Findings{{Message: "digest of the received profile text differs from the published digest", Repair: "publish the profiles again"}}
	}
	set, found := inifile.Parse("published", p.Text)
	if err := found.Err(); err != nil {
		return nil, err
	}
	set.Generation = p.Generation
	return set, nil
}

package inifile

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"endivemoor.example/endivemoor/finding"
	"endivemoor.example/endivemoor/internal/inidoc"
	"endivemoor.example/endivemoor/profile"
)

// namePattern matches the allowed names of profiles and kinds. A dot separates the two in a section's
// name.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Parse checks the text and returns its profiles, without a generation. The set is nil if any finding
// is an error. With a set, Parse may return findings that are warnings. The file name is used in
// findings only.
func Parse(file string, text []byte) (*profile.Set, finding.Findings) {
	p := &parser{
		doc:    inidoc.Load(file, text),
		set:    &profile.Set{Profiles: map[string]*profile.Profile{}, Digest: profile.Digest(text)},
		maxAge: map[string]time.Duration{},
	}
	p.profiles()
	p.kinds()
	p.defaults()
	findings := p.doc.Finish()
	if findings.Refused() {
		return nil, findings
	}
	return p.set, findings
}

type parser struct {
	doc *inidoc.Document
	set *profile.Set
	// maxAge is the max-read-age of each profile.
	maxAge map[string]time.Duration
}

func (p *parser) profiles() {
	for _, s := range p.doc.Sections() {
		switch {
		case s.IsDefault():
			s.Skip("keys stand outside of any section", "move them below a [profile] header")
		case !strings.Contains(s.Name, "."):
			p.profile(s)
		}
	}
	if len(p.set.Profiles) == 0 {
		p.doc.Report("no profile is declared", "add a [profile] section")
	}
	if len(p.set.Profiles) > maxProfiles {
		p.doc.Report(fmt.Sprintf("%d profiles are declared", len(p.set.Profiles)), fmt.Sprintf("keep at most %d", maxProfiles))
	}
}

func (p *parser) profile(s *inidoc.Section) {
	if !namePattern.MatchString(s.Name) {
		s.Skip("profile name is not allowed", "use a letter, then letters, digits and dashes, lower case, at most 63")
		return
	}
	p.maxAge[s.Name] = s.Duration(keyMaxReadAge, 0, 0, MaxAgeLimit)
	p.set.Profiles[s.Name] = &profile.Profile{
		Name:        s.Name,
		DrainGrace:  s.Duration(keyDrainGrace, defaultDrainGrace, 0, maxDrainGrace),
		MaxQueued:   s.Int(keyMaxQueued, defaultQueued, 1, maxQueued),
		MaxSessions: s.Int(keyMaxSessions, defaultSessions, 1, maxSessions),
		Kinds:       map[string]*profile.Kind{},
	}
}

func (p *parser) kinds() {
	for _, s := range p.doc.Sections() {
		profileName, kind, ok := strings.Cut(s.Name, ".")
		if !ok || s.IsDefault() {
			continue
		}
		parent := p.set.Profiles[profileName]
		switch {
		case parent == nil:
			s.Skip(fmt.Sprintf("profile %q is not declared", profileName), fmt.Sprintf("add a [%s] section", profileName))
		case !namePattern.MatchString(kind):
			s.Skip("kind name is not allowed", "use a letter, then letters, digits and dashes, lower case, at most 63")
		case kind == UndeclaredKind:
			s.Skip("this name is taken by requests that carry no tag", "choose another and name it in "+keyDefaultKind)
		default:
			parent.Kinds[kind] = p.kind(s, kind, p.maxAge[profileName])
		}
	}
}

func (p *parser) kind(s *inidoc.Section, name string, maxAge time.Duration) *profile.Kind {
	k := &profile.Kind{
		Name:     name,
		Worth:    s.Float(keyWorth, defaultWorth, 0, maxWorth),
		Deadline: s.Duration(keyDeadline, defaultDeadline, minDeadline, maxDeadline),
	}
	if s.Choice(keyAccess, valueWrite, valueRead, valueWrite) == valueRead {
		k.Access = profile.Read
	}
	// Reads are idempotent by default because they have no effect; writes are not.
	k.Idempotent = s.Bool(keyIdempotent, k.Access == profile.Read)
	if s.Choice(keyKey, valueOptional, valueOptional, valueRequired) == valueRequired {
		k.Key = profile.KeyRequired
	}
	if s.Choice(keyDurability, valueConfirmed, valueConfirmed, valueWitnessed) == valueWitnessed {
		k.Durability = profile.Witnessed
	}
	age := s.Duration(keyMaxAge, maxAge, 0, MaxAgeLimit)
	if k.Access == profile.Read {
		k.MaxAge = age
	}
	checkKind(s, k, maxAge)
	return k
}

// checkKind reports combinations of keys that are not allowed or have no effect.
func checkKind(s *inidoc.Section, k *profile.Kind, maxAge time.Duration) {
	if k.Access == profile.Read {
		if k.MaxAge > maxAge {
			s.Fault(keyMaxAge, fmt.Sprintf("%s is above the profile's %s of %s", k.MaxAge, keyMaxReadAge, maxAge), "lower it or widen "+keyMaxReadAge)
		}
		if k.Key == profile.KeyRequired {
			s.Fault(keyKey, "a read records no request key", "remove it or declare access = write")
		}
		if s.Has(keyDurability) {
			s.Fault(keyDurability, "durability applies to writes", "remove it or declare access = write")
		}
		return
	}
	if s.Has(keyMaxAge) {
		s.Fault(keyMaxAge, "max-age applies to reads", "remove it or declare access = read")
	}
	if k.Idempotent && k.Key == profile.KeyRequired {
		s.Warn(keyIdempotent, "the required key already makes a repetition safe", "declare idempotent = false unless running it twice is harmless")
	}
}

func (p *parser) defaults() {
	for _, pr := range p.set.Profiles {
		s := p.doc.Section(pr.Name)
		if len(pr.Kinds) > maxKinds {
			s.Fault("", fmt.Sprintf("%d kinds are declared", len(pr.Kinds)), fmt.Sprintf("keep at most %d", maxKinds))
		}
		pr.Default = &profile.Kind{Name: UndeclaredKind, Worth: defaultWorth, Deadline: defaultDeadline}
		kind := s.String(keyDefaultKind, "")
		if kind == "" {
			continue
		}
		k := pr.Kinds[kind]
		if k == nil {
			s.Fault(keyDefaultKind, fmt.Sprintf("kind %q is not declared", kind), fmt.Sprintf("add a [%s.%s] section", pr.Name, kind))
			continue
		}
		if k.Access == profile.Read {
			s.Warn(keyDefaultKind, "untagged statements go to replicas, where a write fails", "name a kind of access = write unless the service only reads")
		}
		pr.Default = k
	}
}

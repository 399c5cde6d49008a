// Package diff compares two sets of profiles and names every change, and among
// them the dangerous ones: those that could run a write twice, lose one, or
// show data older than before. A reviewer must accept each of these by its ID.
package diff

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"endivemoor.example/endivemoor/profile"
)

// Danger says why a change needs the reviewer's explicit word.
type Danger string

const (
	// Safe changes need none.
	Safe Danger = ""
	// BecomesIdempotent lets the proxy run a write again.
	BecomesIdempotent Danger = "a write may now be run twice"
	// KeyDropped lets a write come without the key that keeps it from running
	// twice when its caller asks again.
	KeyDropped Danger = "a repeated request is no longer recognised"
	// AgeWidened lets reads show older data.
	AgeWidened Danger = "reads may show older data"
	// DurabilityLowered lets a crash lose an acknowledged write.
	DurabilityLowered Danger = "a crash may lose an acknowledged write"
	// KindDropped refuses requests that carry the kind's tag.
	KindDropped Danger = "requests of this kind are refused"
	// ProfileDropped refuses sessions that pick the profile.
	ProfileDropped Danger = "sessions of this profile are refused"
	// DeadlineCut gives up on requests that were served before.
	DeadlineCut Danger = "requests are given up on earlier"
	// MovedToReplicas sends what went to the primary to replicas.
	MovedToReplicas Danger = "requests move from the primary to replicas"
	// DefaultChanged gives untagged requests another kind.
	DefaultChanged Danger = "untagged requests are treated as another kind"
)

// Change is one difference. Kind is empty for a profile's own keys, and Key
// for a profile or kind as a whole.
type Change struct {
	Profile string `json:"profile"`
	Kind    string `json:"kind,omitempty"`
	Key     string `json:"key,omitempty"`
	// From and To are the values in the file's spelling; "" is absent.
	From   string `json:"from"`
	To     string `json:"to"`
	Danger Danger `json:"danger,omitempty"`
}

// ID names the change by section and key, as in the file:
// "passes.purchase/idempotent". A reviewer accepts a dangerous change by it.
func (c Change) ID() string {
	id := c.Profile
	if c.Kind != "" {
		id += "." + c.Kind
	}
	if c.Key != "" {
		id += "/" + c.Key
	}
	return id
}

// String is one line for people.
func (c Change) String() string {
	line := c.ID() + ": " + cmp.Or(c.From, "(none)") + " -> " + cmp.Or(c.To, "(none)")
	if c.Danger != Safe {
		line += "  DANGEROUS: " + string(c.Danger)
	}
	return line
}

// Dangerous returns the changes that need the reviewer's word.
func Dangerous(changes []Change) []Change {
	return slices.DeleteFunc(slices.Clone(changes), func(c Change) bool { return c.Danger == Safe })
}

const declared = "declared"

// Sets returns the changes from one set to another in a fixed order. A nil
// from is an empty set: first profiles are compared with nothing.
func Sets(from, to *profile.Set) []Change {
	var out []Change
	before, after := profilesOf(from), profilesOf(to)
	for _, name := range union(before, after) {
		out = append(out, profiles(name, before[name], after[name])...)
	}
	return out
}

func profilesOf(s *profile.Set) map[string]*profile.Profile {
	if s == nil {
		return nil
	}
	return s.Profiles
}

func union[V any](a, b map[string]V) []string {
	names := slices.Sorted(maps.Keys(a))
	names = slices.AppendSeq(names, maps.Keys(b))
	slices.Sort(names)
	return slices.Compact(names)
}

func profiles(name string, from, to *profile.Profile) []Change {
	switch {
	case to == nil:
		return []Change{{Profile: name, From: declared, Danger: ProfileDropped}}
	case from == nil:
		out := []Change{{Profile: name, To: declared}}
		return append(out, newKinds(to)...)
	}
	l := list{profile: name}
	l.add("drain-grace", span(from.DrainGrace), span(to.DrainGrace), Safe)
	l.add("max-queued", strconv.Itoa(from.MaxQueued), strconv.Itoa(to.MaxQueued), Safe)
	l.add("max-sessions", strconv.Itoa(from.MaxSessions), strconv.Itoa(to.MaxSessions), Safe)
	l.add("default-kind", from.Default.Name, to.Default.Name, DefaultChanged)
	for _, kind := range union(from.Kinds, to.Kinds) {
		l.kinds(kind, from.Kinds[kind], to.Kinds[kind])
	}
	return l.changes
}

func newKinds(p *profile.Profile) []Change {
	l := list{profile: p.Name}
	for _, kind := range union(p.Kinds, nil) {
		l.kinds(kind, nil, p.Kinds[kind])
	}
	return l.changes
}

// list collects the changes of one profile.
type list struct {
	profile string
	kind    string
	changes []Change
}

func (l *list) add(key, from, to string, d Danger) {
	if from == to {
		return
	}
	l.changes = append(l.changes, Change{Profile: l.profile, Kind: l.kind, Key: key, From: from, To: to, Danger: d})
}

func (l *list) kinds(name string, from, to *profile.Kind) {
	l.kind = name
	switch {
	case to == nil:
		l.add("", declared, "", KindDropped)
	case from == nil:
		l.add("", "", declared, Safe)
		// A new kind has no past, but a write that the proxy may repeat is
		// accepted by its own word from the start.
		l.add("idempotent", "", yes(to.Idempotent && to.Access == profile.Write), when(to.Idempotent && to.Access == profile.Write, BecomesIdempotent))
	default:
		l.kindKeys(from, to)
	}
}

func (l *list) kindKeys(from, to *profile.Kind) {
	isWrite := to.Access == profile.Write
	l.add("access", access(from.Access), access(to.Access), when(!isWrite, MovedToReplicas))
	l.add("worth", number(from.Worth), number(to.Worth), Safe)
	l.add("deadline", span(from.Deadline), span(to.Deadline), when(to.Deadline < from.Deadline, DeadlineCut))
	l.add("max-age", span(from.MaxAge), span(to.MaxAge), when(to.MaxAge > from.MaxAge, AgeWidened))
	l.add("idempotent", strconv.FormatBool(from.Idempotent), strconv.FormatBool(to.Idempotent), when(to.Idempotent && isWrite, BecomesIdempotent))
	l.add("key", key(from.Key), key(to.Key), when(to.Key == profile.KeyOptional, KeyDropped))
	l.add("durability", durability(from.Durability), durability(to.Durability), when(to.Durability == profile.Witnessed, DurabilityLowered))
	// A read that was idempotent by nature and becomes a write keeps the word.
	if isWrite && from.Access == profile.Read && to.Idempotent && from.Idempotent {
		l.add("idempotent", "true (read)", "true (write)", BecomesIdempotent)
	}
}

func when(is bool, d Danger) Danger {
	if is {
		return d
	}
	return Safe
}

func yes(b bool) string {
	if b {
		return "true"
	}
	return ""
}

func span(d time.Duration) string { return d.String() }

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func access(a profile.Access) string {
	if a == profile.Read {
		return "read"
	}
	return "write"
}

func key(k profile.KeyPolicy) string {
	if k == profile.KeyRequired {
		return "required"
	}
	return "optional"
}

func durability(d profile.Durability) string {
	if d == profile.Witnessed {
		return "witnessed"
	}
	return "confirmed"
}

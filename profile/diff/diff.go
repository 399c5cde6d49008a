// Package diff compares two sets of profiles and lists the changes. Begin with Sets. Some changes are
// dangerous, for example because they can run a write twice, lose one, or show older data than before.
// A reviewer must accept each dangerous change by its ID.
package diff

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"endivemoor.example/endivemoor/profile"
)

// Danger is the reason why the reviewer must accept a change explicitly.
type Danger string

const (
	// Safe changes need no explicit acceptance.
	Safe Danger = ""
	// BecomesIdempotent allows the proxy to run a write again.
	BecomesIdempotent Danger = "a write may now be run twice"
	// KeyDropped allows a write without the key that prevents it from running twice when its caller
	// retries.
	KeyDropped Danger = "a repeated request is no longer recognised"
	// AgeWidened allows reads to show older data.
	AgeWidened Danger = "reads may show older data"
	// DurabilityLowered allows a crash to lose an acknowledged write.
	DurabilityLowered Danger = "a crash may lose an acknowledged write"
	// KindDropped causes requests with the kind's tag to be refused.
	KindDropped Danger = "requests of this kind are refused"
	// ProfileDropped causes sessions that select the profile to be refused.
	ProfileDropped Danger = "sessions of this profile are refused"
	// DeadlineShortened causes timeouts of requests that were served before.
	DeadlineShortened Danger = "requests are given up on earlier"
	// MovedToReplicas moves requests from the primary to replicas.
	MovedToReplicas Danger = "requests move from the primary to replicas"
	// DefaultChanged assigns another kind to untagged requests.
	DefaultChanged Danger = "untagged requests are treated as another kind"
)

// Change is one difference. Kind is empty for a profile's own keys, and Key is empty for a profile or
// kind as a whole.
type Change struct {
	Profile string `json:"profile"`
	Kind    string `json:"kind,omitempty"`
	Key     string `json:"key,omitempty"`
	// From and To are the values as written in the file, or "" if absent.
	From   string `json:"from"`
	To     string `json:"to"`
	Danger Danger `json:"danger,omitempty"`
}

// ID identifies the change by its section and key in the file, such as
// "passes.purchase/idempotent". A reviewer accepts a dangerous change by its ID.
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

// String returns the change as one human-readable line.
func (c Change) String() string {
	line := c.ID() + ": " + cmp.Or(c.From, "(none)") + " -> " + cmp.Or(c.To, "(none)")
	if c.Danger != Safe {
		line += "  DANGEROUS: " + string(c.Danger)
	}
	return line
}

// Dangerous returns the changes that the reviewer must accept explicitly.
func Dangerous(changes []Change) []Change {
	return slices.DeleteFunc(slices.Clone(changes), func(c Change) bool { return c.Danger == Safe })
}

const declared = "declared"

// Sets returns the changes from one set to another in a fixed order. A nil from is an empty set, which
// is the case for the first published set.
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
	l := changeList{profile: name}
	l.add("drain-grace", durationText(from.DrainGrace), durationText(to.DrainGrace), Safe)
	l.add("max-queued", strconv.Itoa(from.MaxQueued), strconv.Itoa(to.MaxQueued), Safe)
	l.add("max-sessions", strconv.Itoa(from.MaxSessions), strconv.Itoa(to.MaxSessions), Safe)
	l.add("default-kind", from.Default.Name, to.Default.Name, DefaultChanged)
	for _, kind := range union(from.Kinds, to.Kinds) {
		l.kinds(kind, from.Kinds[kind], to.Kinds[kind])
	}
	return l.changes
}

func newKinds(p *profile.Profile) []Change {
	l := changeList{profile: p.Name}
	for _, kind := range union(p.Kinds, nil) {
		l.kinds(kind, nil, p.Kinds[kind])
	}
	return l.changes
}

// changeList collects the changes of one profile.
type changeList struct {
	profile string
	// kind is the kind whose changes add appends, or empty for the profile's own keys.
	kind    string
	changes []Change
}

func (l *changeList) add(key, from, to string, d Danger) {
	if from == to {
		return
	}
	l.changes = append(l.changes, Change{Profile: l.profile, Kind: l.kind, Key: key, From: from, To: to, Danger: d})
}

func (l *changeList) kinds(name string, from, to *profile.Kind) {
	l.kind = name
	switch {
	case to == nil:
		l.add("", declared, "", KindDropped)
	case from == nil:
		l.add("", "", declared, Safe)
		// A new kind has no previous values, but the reviewer must accept explicitly that the proxy
		// may repeat its writes.
		l.add("idempotent", "", trueOrEmpty(to.Idempotent && to.Access == profile.Write), dangerIf(to.Idempotent && to.Access == profile.Write, BecomesIdempotent))
	default:
		l.kindKeys(from, to)
	}
}

func (l *changeList) kindKeys(from, to *profile.Kind) {
	isWrite := to.Access == profile.Write
	l.add("access", accessText(from.Access), accessText(to.Access), dangerIf(!isWrite, MovedToReplicas))
	l.add("worth", numberText(from.Worth), numberText(to.Worth), Safe)
	l.add("deadline", durationText(from.Deadline), durationText(to.Deadline), dangerIf(to.Deadline < from.Deadline, DeadlineShortened))
	l.add("max-age", durationText(from.MaxAge), durationText(to.MaxAge), dangerIf(to.MaxAge > from.MaxAge, AgeWidened))
	l.add("idempotent", strconv.FormatBool(from.Idempotent), strconv.FormatBool(to.Idempotent), dangerIf(to.Idempotent && isWrite, BecomesIdempotent))
	l.add("key", keyText(from.Key), keyText(to.Key), dangerIf(to.Key == profile.KeyOptional, KeyDropped))
	l.add("durability", durabilityText(from.Durability), durabilityText(to.Durability), dangerIf(to.Durability == profile.Witnessed, DurabilityLowered))
	// If a read becomes a write and remains idempotent, the value is unchanged, but its meaning is
	// not: the proxy may now repeat a write.
	if isWrite && from.Access == profile.Read && to.Idempotent && from.Idempotent {
		l.add("idempotent", "true (read)", "true (write)", BecomesIdempotent)
	}
}

// dangerIf returns d if the condition holds, and Safe otherwise.
func dangerIf(condition bool, d Danger) Danger {
	if condition {
		return d
	}
	return Safe
}

// trueOrEmpty returns "true" if b is true, and the empty text of an absent value otherwise.
func trueOrEmpty(b bool) string {
	if b {
		return "true"
	}
	return ""
}

func durationText(d time.Duration) string { return d.String() }

func numberText(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func accessText(a profile.Access) string {
	if a == profile.Read {
		return "read"
	}
	return "write"
}

func keyText(k profile.KeyPolicy) string {
	if k == profile.KeyRequired {
		return "required"
	}
	return "optional"
}

func durabilityText(d profile.Durability) string {
	if d == profile.Witnessed {
		return "witnessed"
	}
	return "confirmed"
}

package publication

import (
	"fmt"
	"slices"
	"strings"

	"endivemoor.example/endivemoor/profile/diff"
)

func samePerson(a, b string) bool {
	return strings.EqualFold(strings.TrimSpace(a), strings.TrimSpace(b))
}

// notAccepted returns a line for each dangerous change whose ID is not in accepted.
func notAccepted(changes []diff.Change, accepted []string) []string {
	var lines []string
	for _, c := range diff.Dangerous(changes) {
		if !slices.Contains(accepted, c.ID()) {
			lines = append(lines, c.String())
		}
	}
	return lines
}

func dangerousIDs(changes []diff.Change) []string {
	var ids []string
	for _, c := range diff.Dangerous(changes) {
		ids = append(ids, c.ID())
	}
	return ids
}

// label returns the version's name in the audit trail, such as "generation 7 <digest>".
func label(v Version) string {
	if v.Generation == 0 {
		return ""
	}
	return fmt.Sprintf("generation %d %s", v.Generation, v.Digest)
}

package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/failover"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// An auditor asks why b was promoted at night. The entry must say why and on
// whose word, without the log of a VM that was replaced since.
func TestPromotionEntrySaysWhyAndOnWhatEvidence(t *testing.T) {
	j := &Journal{VM: "p1", Incarnation: "p1-1"}
	j.why(failover.Entry{Step: failover.StepStarted, Group: "g", Term: 7, Reason: "primary silent"})
	e := failover.Entry{
		Step: failover.StepPromoted, Group: "g", Term: 7, Server: "b",
		Evidence: []failover.Evidence{{
			VM: "p2", Zone: "z2", Server: "a", Silent: true, Age: 700 * time.Millisecond,
			Status: target.Status{Role: target.RolePrimary, Term: 6, Promised: 6, LSN: 41},
		}},
	}
	require.Equal(t, "primary silent", j.why(e))
	require.Equal(t, "p2 (z2) saw a: primary term=6 position=41 promised=6, silent, last answered 700ms ago", evidenceText(e))
	require.Empty(t, j.why(failover.Entry{Step: failover.StepFenced, Group: "g", Term: 8}), "another attempt has its own reason")

	e.Discarded = []target.Entry{{Position: timeline.Position{Term: 6, LSN: 42}, Statement: "INSERT"}}
	require.Equal(t, `discarded: term=6 position=42 "INSERT"`, evidenceText(e))
}

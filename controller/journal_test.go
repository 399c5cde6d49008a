package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/failover"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// An auditor checks why b was promoted. The entry must contain the reason and the evidence,
// because the log of the VM that promoted b may be lost when the VM is replaced.
func TestPromotionEntryHasReasonAndEvidence(t *testing.T) {
	j := &Journal{VM: "p1", Incarnation: "p1-1"}
	j.reasonOf(failover.Entry{Step: failover.StepStarted, Group: "g", Term: 7, Reason: "primary silent"})
	e := failover.Entry{
		Step: failover.StepPromoted, Group: "g", Term: 7, Server: "b",
		Evidence: []failover.Evidence{{
			VM: "p2", Zone: "z2", Server: "a", Silent: true, Age: 700 * time.Millisecond,
			Status: target.Status{Role: target.RolePrimary, Term: 6, Promised: 6, LSN: 41},
		}},
	}
	require.Equal(t, "primary silent", j.reasonOf(e))
	require.Equal(t, "p2 (z2) saw a: primary term=6 position=41 promised=6, silent, last answered 700ms ago", evidenceText(e))
	require.Empty(t, j.reasonOf(failover.Entry{Step: failover.StepFenced, Group: "g", Term: 8}), "the reason of another attempt is not used")

	e.Discarded = []target.Entry{{Position: timeline.Position{Term: 6, LSN: 42}, Statement: "INSERT"}}
	require.Equal(t, `discarded: term=6 position=42 "INSERT"`, evidenceText(e))
}

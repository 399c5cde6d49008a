package finding

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Failure guarded against: a check without errors returns a typed, empty list as its error, and the
// caller's comparison with nil refuses the configuration.
func TestOnlyErrorsRefuse(t *testing.T) {
	require.NoError(t, Findings(nil).Err())
	require.NoError(t, Findings{{Severity: Warning, Message: "odd"}}.Err())
	require.Error(t, Findings{{Severity: Warning}, {Message: "wrong"}}.Err())
}

func TestSortAndText(t *testing.T) {
	fs := Findings{
		{File: "b.ini", Message: "last"},
		{File: "a.ini", Line: 9, Section: "shop", Key: "worth", Message: "too high", Repair: "lower it"},
		{File: "a.ini", Line: 2, Section: "shop", Severity: Warning, Message: "odd"},
	}
	fs.Sort()
	require.Equal(t, "a.ini:2: [shop] warning: odd\n"+
		"a.ini:9: [shop] worth: error: too high; lower it\n"+
		"b.ini: error: last", fs.Error())
}

package daemon

import (
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/feature"
)

// Failure guarded against: a part's name is misspelled, and the part runs although the operator has
// switched it off.
func TestPartsToRunWithoutAreChecked(t *testing.T) {
	var cli commands
	parser, err := kong.New(&cli)
	require.NoError(t, err)
	_, err = parser.Parse([]string{"edge", "--without", "load-reports,fair-shares"})
	require.NoError(t, err)
	require.Equal(t, []feature.Part{feature.LoadReports, feature.FairShares}, cli.Edge.Without)
	_, err = parser.Parse([]string{"edge", "--without=load-reports,fair-share"})
	require.ErrorContains(t, err, `--without: "fair-share" names no part; the parts are limits-by-priority,`)
	require.Equal(t, exitBadInput, Main([]string{"edge", "--without", "everything"}))
}

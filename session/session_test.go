package session

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

var (
	start            = time.Unix(1_800_000_000, 0)
	first            = bytes.Repeat([]byte{1}, MinKeyBytes)
	second           = bytes.Repeat([]byte{2}, MinKeyBytes)
	issuedWatermarks = Watermarks{"ledger-0": {Term: 3, LSN: 1 << 60}}
)

func newKeys(t testing.TB) *Keys {
	k, err := NewKeys("k1", map[string][]byte{"k1": first})
	require.NoError(t, err)
	return k
}

func issue(t testing.TB, k *Keys, user string) string {
	token, err := k.Issue(user, issuedWatermarks, start)
	require.NoError(t, err)
	return token
}

func requireFault(t *testing.T, want Fault, err error) {
	t.Helper()
	var e *TokenError
	require.True(t, errors.As(err, &e), "%v", err)
	require.Equal(t, want.String(), e.Fault.String())
}

func TestTokenCarriesWatermarksExactly(t *testing.T) {
	k := newKeys(t)
	got, err := k.Verify(issue(t, k, "portal"), "portal", start.Add(time.Hour))
	require.NoError(t, err)
	require.Equal(t, issuedWatermarks, got)
}

func TestTokenOfAnotherUserIsRefused(t *testing.T) {
	k := newKeys(t)
	_, err := k.Verify(issue(t, k, "portal"), "crew", start)
	requireFault(t, FaultOtherUser, err)
}

// Failure guarded against: an attacker raises the position in a token and signs it with another
// key, or with none. The proxy must not accept a position that it never issued: such a position
// could delay a session's reads forever.
func TestForgedTokenIsRefused(t *testing.T) {
	k := newKeys(t)
	attacker, err := NewKeys("k1", map[string][]byte{"k1": second})
	require.NoError(t, err)
	_, err = k.Verify(issue(t, attacker, "portal"), "portal", start)
	requireFault(t, FaultForged, err)

	unsigned := jwt.NewWithClaims(jwt.SigningMethodNone, claims{Watermarks: issuedWatermarks})
	unsigned.Header["kid"] = "k1"
	token, err := unsigned.SignedString(jwt.UnsafeAllowNoneSignatureType)
	require.NoError(t, err)
	_, err = k.Verify(token, "portal", start)
	requireFault(t, FaultForged, err)
}

// A key is rotated while callers hold tokens that the old one signed. These tokens must be accepted
// until the old key is removed; after that, the refusal must state the reason.
func TestTokenOutlivesRotationUntilItsKeyIsRemoved(t *testing.T) {
	k := newKeys(t)
	old := issue(t, k, "portal")
	require.NoError(t, k.Replace("k2", map[string][]byte{"k1": first, "k2": second}))
	_, err := k.Verify(old, "portal", start)
	require.NoError(t, err)
	newer := issue(t, k, "portal")

	require.NoError(t, k.Replace("k2", map[string][]byte{"k2": second}))
	_, err = k.Verify(old, "portal", start)
	requireFault(t, FaultUnknownKey, err)
	_, err = k.Verify(newer, "portal", start)
	require.NoError(t, err)
}

func TestExpiredTokenIsRefused(t *testing.T) {
	k := newKeys(t)
	token := issue(t, k, "portal")
	_, err := k.Verify(token, "portal", start.Add(TokenLifetime-time.Second))
	require.NoError(t, err)
	_, err = k.Verify(token, "portal", start.Add(TokenLifetime+time.Second))
	requireFault(t, FaultExpired, err)
}

func TestMalformedTokensAreRefused(t *testing.T) {
	k := newKeys(t)
	for _, token := range []string{"", "a.b.c", strings.Repeat("x", MaxTokenBytes+1), issue(t, k, "portal")[:40]} {
		_, err := k.Verify(token, "portal", start)
		requireFault(t, FaultMalformed, err)
	}
}

func TestWatermarksThatDoNotFitAreNotDroppedSilently(t *testing.T) {
	k := newKeys(t)
	many := Watermarks{}
	for i := range MaxGroups + 1 {
		many[strings.Repeat("g", i+1)] = timeline.Position{Term: 1, LSN: 1}
	}
	_, err := k.Issue("portal", many, start)
	var size *SizeError
	require.True(t, errors.As(err, &size))
}

func TestUnusableKeysAreRefusedAndChangeNothing(t *testing.T) {
	k := newKeys(t)
	require.Error(t, k.Replace("k9", map[string][]byte{"k1": first}))
	require.Error(t, k.Replace("k1", map[string][]byte{"k1": first[:8]}))
	require.Error(t, k.Replace("", map[string][]byte{"": first}))
	_, err := k.Verify(issue(t, k, "portal"), "portal", start)
	require.NoError(t, err)
}

func TestRaiseKeepsTheHigherWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		positions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) timeline.Position {
			return timeline.Position{
				Term: timeline.Term(rapid.IntRange(1, 4).Draw(t, "term")),
				LSN:  timeline.LSN(rapid.IntRange(0, 99).Draw(t, "lsn")),
			}
		}), 1, 8).Draw(t, "positions")
		forward, backward := Watermarks{}, Watermarks{}
		for i := range positions {
			forward.Raise("g", positions[i])
			backward.Raise("g", positions[len(positions)-1-i])
		}
		require.Equal(t, forward, backward)
	})
}

var group = &view.Group{
	Name: "ledger-0", Term: 3,
	History: timeline.History{{Term: 1}, {Term: 2, LSN: 100}, {Term: 3, LSN: 200}},
}

func TestFloorRules(t *testing.T) {
	at := func(term timeline.Term, lsn timeline.LSN) Watermarks {
		return Watermarks{"ledger-0": {Term: term, LSN: lsn}}
	}
	cases := []struct {
		name       string
		watermarks Watermarks
		want       Floor
	}{
		{"no token", Watermarks{}, Floor{}},
		{"another group only", Watermarks{"ledger-1": {Term: 1, LSN: 9}}, Floor{}},
		{"present term", at(3, 250), Floor{timeline.Position{Term: 3, LSN: 250}, SourceToken}},
		{"before a promotion, kept", at(1, 90), Floor{timeline.Position{Term: 1, LSN: 90}, SourceToken}},
		{"before a promotion, discarded", at(1, 130), Floor{timeline.Position{Term: 1, LSN: 100}, SourceCut}},
		{"view is behind", at(4, 210), Floor{timeline.Position{Term: 4, LSN: 210}, SourceAhead}},
	}
	for _, c := range cases {
		require.Equal(t, c.want, FloorOf(c.watermarks, group), c.name)
	}
}

func FuzzVerify(f *testing.F) {
	k := newKeys(f)
	good := issue(f, k, "portal")
	f.Add(good, "portal")
	f.Add(good, "crew")
	f.Add(good[:len(good)-2], "portal")
	f.Add("eyJhbGciOiJub25lIn0.e30.", "")
	f.Fuzz(func(t *testing.T, token, user string) {
		watermarks, err := k.Verify(token, user, start)
		if err != nil {
			var e *TokenError
			require.True(t, errors.As(err, &e))
			require.Nil(t, watermarks)
			return
		}
		require.Equal(t, good, token)
		require.Equal(t, "portal", user)
	})
}

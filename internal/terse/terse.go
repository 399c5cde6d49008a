// Package terse leaves out what peers do not read of each other's HTTP
// messages. Exchanges between VMs are many and small: half of their bytes were
// headers.
package terse

import "net/http"

// Transport is a transport whose requests do not name the program.
type Transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("User-Agent", "")
	r.Header.Del("Accept")
	r.Header.Del("Twirp-Version")
	return t.RoundTripper.RoundTrip(r)
}

// Handler leaves out the date of each answer.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

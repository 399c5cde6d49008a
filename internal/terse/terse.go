// Package terse leaves out what peers do not read of each other's HTTP
// messages. Exchanges between VMs are many and small: half of their bytes were
// headers.
package terse

import "net/http"

// anyHost stands for the host that a request must name and no peer reads.
const anyHost = "-"

// Transport is a transport whose requests name neither the program nor the host.
type Transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Host = anyHost
	r.Header.Set("User-Agent", "")
	r.Header.Del("Accept")
	r.Header.Del("Twirp-Version")
	return t.RoundTripper.RoundTrip(r)
}

// Handler leaves out the date of each answer, and the type of those that are of the
// kind that was asked for.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(&writer{ResponseWriter: w}, r)
	})
}

type writer struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter. Errors keep their type: it differs from
// that of answers.
func (w *writer) WriteHeader(status int) {
	if status == http.StatusOK {
		w.Header()["Content-Type"] = nil
	}
	w.ResponseWriter.WriteHeader(status)
}

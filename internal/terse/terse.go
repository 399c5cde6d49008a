// Package terse omits the headers that peers do not read from each other's HTTP messages. Messages
// between VMs are many and small: half of their bytes were headers.
package terse

import "net/http"

// anyHost is the value of the Host header, which a request must have and no peer reads.
const anyHost = "-"

// Transport is a transport whose requests identify neither the program nor the host.
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

// Handler omits the date of each response, and the content type of successful responses, which is
// the type of the request.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(&writer{ResponseWriter: w}, r)
	})
}

type writer struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter. Errors keep their content type, as it differs from
// that of successful responses.
func (w *writer) WriteHeader(status int) {
	if status == http.StatusOK {
		w.Header()["Content-Type"] = nil
	}
	w.ResponseWriter.WriteHeader(status)
}

package terse

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A request between two peers contains only the path, a placeholder host, the length and the
// content type.
func TestRequestHasOnlyNeededHeaders(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	sent := make(chan string, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		in := bufio.NewReader(c)
		var head strings.Builder
		for line := ""; line != "\r\n"; {
			if line, err = in.ReadString('\n'); err != nil {
				break
			}
			head.WriteString(line)
		}
		sent <- head.String()
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}()
	r, err := http.NewRequest(http.MethodPost, "http://"+ln.Addr().String()+"/run", strings.NewReader("abc"))
	require.NoError(t, err)
	r.Header.Set("Content-Type", "application/protobuf")
	r.Header.Set("Twirp-Version", "v8")
	resp, err := Transport{&http.Transport{DisableCompression: true}}.RoundTrip(r)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, "POST /run HTTP/1.1\r\nHost: -\r\nContent-Length: 3\r\nContent-Type: application/protobuf\r\n\r\n", <-sent)
}

func TestAnswersHaveNeitherDateNorType(t *testing.T) {
	s := httptest.NewServer(Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/"+strings.Trim(r.URL.Path, "/"))
		if r.URL.Path == "/json" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "x")
	})))
	defer s.Close()
	resp, err := http.Get(s.URL + "/protobuf")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Empty(t, resp.Header["Content-Type"])
	require.Empty(t, resp.Header["Date"])
	resp, err = http.Get(s.URL + "/json")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, "application/json", resp.Header.Get("Content-Type"))
}

// Package client is the HTTP/JSON client of the platform's object API. It
// implements store.Store and counts every call by purpose and result.
//
// The one decision it takes is which error a failed change is reported as. A
// change that reached no connection, or that the store refused, surely had no
// effect: store.ErrUnavailable. Once a connection was handed the request it
// may have taken effect, whatever failed later: store.ErrNoAnswer. Reads
// have no effect, so they fail as ErrUnavailable only.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/store/wire"
)

// DefaultTimeout bounds one call when Options.Timeout is zero.
const DefaultTimeout = 2 * time.Second

const maxIdleConns = 16

// Options of a Client.
type Options struct {
	// Timeout bounds one call; a watch gets its waiting time on top.
	Timeout time.Duration
	// Registerer takes the calls metric; nil leaves it unregistered.
	Registerer prometheus.Registerer
	// Dial opens connections; nil takes the usual ones.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Transport is used for the calls; nil gives a plain one.
	Transport http.RoundTripper
}

// Client implements store.Store over HTTP.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	calls   *prometheus.CounterVec
}

var _ store.Store = (*Client)(nil)

// New returns a client of the API at base, such as "http://10.0.0.9:7070".
func New(base string, o Options) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" {
		return nil, errors.Errorf("platform address %q is not of the form http://ip:port", base)
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{DialContext: o.Dial, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute}
	}
	calls, err := registerCalls(o.Registerer)
	if err != nil {
		return nil, err
	}
	base = u.Scheme + "://" + u.Host
	exchange := &http.Client{Transport: o.Transport, CheckRedirect: stayHere}
	return &Client{base: base, timeout: o.Timeout, http: exchange, calls: calls}, nil
}

// stayHere keeps a change from being sent on to wherever a response points.
func stayHere(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, p store.Purpose, key string) (store.Object, error) {
	var o store.Object
	err := c.read(ctx, p, wire.PathObject, url.Values{wire.ParamKey: {key}}, c.timeout, &o)
	return o, err
}

// List returns the objects below prefix in key order.
func (c *Client) List(ctx context.Context, p store.Purpose, prefix string) ([]store.Object, error) {
	var l wire.Objects
	err := c.read(ctx, p, wire.PathList, url.Values{wire.ParamPrefix: {prefix}}, c.timeout, &l)
	return l.Objects, err
}

// Watch waits for changes below prefix after the revision since.
func (c *Client) Watch(ctx context.Context, p store.Purpose, prefix string, since int64, wait time.Duration) ([]store.Object, int64, error) {
	q := url.Values{
		wire.ParamPrefix: {prefix},
		wire.ParamSince:  {strconv.FormatInt(since, 10)},
		wire.ParamWait:   {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var l wire.Objects
	if err := c.read(ctx, p, wire.PathWatch, q, c.timeout+wait, &l); err != nil {
		return nil, since, err
	}
	return l.Objects, l.Revision, nil
}

// VMs returns the platform's lagging list.
func (c *Client) VMs(ctx context.Context) ([]store.VM, error) {
	var l wire.VMs
	err := c.read(ctx, store.PurposeVMs, wire.PathVMs, nil, c.timeout, &l)
	return l.VMs, err
}

// Put writes value if the object's version is expect.
func (c *Client) Put(ctx context.Context, p store.Purpose, key string, value []byte, expect store.Version) (store.Version, error) {
	if len(value) > store.MaxValue {
		return 0, c.count(p, &wire.TooLargeError{Key: key, Size: len(value)})
	}
	body, err := json.Marshal(wire.PutBody{Value: value})
	if err != nil {
		return 0, errors.Wrap(err, "encode value")
	}
	var w wire.Written
	err = c.change(ctx, p, http.MethodPut, key, expect, body, &w)
	return w.Version, err
}

// Delete removes the object if its version is expect.
func (c *Client) Delete(ctx context.Context, p store.Purpose, key string, expect store.Version) error {
	return c.change(ctx, p, http.MethodDelete, key, expect, nil, &wire.Written{})
}

func (c *Client) read(ctx context.Context, p store.Purpose, path string, q url.Values, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, body, err := c.send(ctx, p, http.MethodGet, path, q, nil, into)
	if err == nil {
		err = statusError(status, q.Get(wire.ParamKey), body)
	}
	if errors.Is(err, store.ErrNoAnswer) {
		err = errors.WithMessage(store.ErrUnavailable, err.Error())
	}
	return c.count(p, err)
}

func (c *Client) change(ctx context.Context, p store.Purpose, method, key string, expect store.Version, body []byte, into *wire.Written) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	q := url.Values{wire.ParamKey: {key}, wire.ParamExpect: {strconv.FormatInt(int64(expect), 10)}}
	status, raw, err := c.send(ctx, p, method, wire.PathObject, q, body, into)
	if err == nil {
		err = statusError(status, key, raw)
	}
	return c.count(p, err)
}

// send makes one exchange. An answer of 200 is decoded into the value; others
// are returned raw.
func (c *Client) send(ctx context.Context, p store.Purpose, method, path string, q url.Values, body []byte, into any) (int, []byte, error) {
	// The guard of "surely no effect": a request that was never given a
	// connection cannot have reached the store. Without it a refused dial would
	// be "unknown", and every change in an outage would need a read-back.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+q.Encode(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "build request")
	}
	req.Header.Set(wire.HeaderPurpose, string(p))
	resp, err := c.http.Do(req)
	if err != nil && !connected.Load() {
		return 0, nil, errors.WithMessage(store.ErrUnavailable, err.Error())
	}
	if err != nil {
		return 0, nil, errors.WithMessage(store.ErrNoAnswer, err.Error())
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK {
		err = json.Unmarshal(raw, into)
	}
	if err != nil {
		return 0, nil, errors.WithMessage(store.ErrNoAnswer, err.Error())
	}
	return resp.StatusCode, raw, nil
}

// statusError maps an HTTP status to a typed error. A status that the API does
// not name may come from anything on the way, also after the effect.
func statusError(status int, key string, body []byte) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return store.ErrNotFound
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return store.ErrUnavailable
	case http.StatusRequestEntityTooLarge:
		return &wire.TooLargeError{Key: key}
	case http.StatusConflict:
		var w wire.Written
		if err := json.Unmarshal(body, &w); err != nil {
			return errors.WithMessage(store.ErrNoAnswer, err.Error())
		}
		return &store.ConflictError{Key: key, Current: w.Version}
	default:
		return errors.WithMessagef(store.ErrNoAnswer, "status %d", status)
	}
}

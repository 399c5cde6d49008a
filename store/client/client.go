// Package client implements store.Store on the platform's object store by means of package
// platform/objects, the only HTTP client of that store. It counts each call by purpose and result.
// Begin with Client. The package does not retry calls or resolve lost answers.
//
// The part of a key before the first slash is the kind of its object, and the rest is the name. Values
// are arbitrary bytes, which are sent as base64 in the object's spec.
//
// A failed change is reported as one of two errors. If no connection was available for the request, or
// the store refused it, the change certainly had no effect: store.ErrUnavailable. Once the request was
// passed to a connection, the change may have taken effect, whatever fails later: store.ErrNoAnswer.
// Reads have no effect, so they fail with ErrUnavailable only.
package client

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"endivemoor.example/endivemoor/platform/objects"
	"endivemoor.example/endivemoor/store"
)

// DefaultTimeout bounds one call when Options.Timeout is zero.
const DefaultTimeout = 2 * time.Second

const maxIdleConns = 16

// KindVMs is the kind under which the platform lists its VMs.
const KindVMs = "vms"

// Options configure a Client.
type Options struct {
	// Timeout bounds one call. For a watch, it is added to the waiting time.
	Timeout time.Duration
	// Registerer registers the metric of calls; nil leaves it unregistered.
	Registerer prometheus.Registerer
	// Dial opens connections; nil selects the default of http.Transport.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Transport is used for the calls; nil selects an http.Transport that uses Dial.
	Transport http.RoundTripper
}

// Client implements store.Store over HTTP.
type Client struct {
	objects *objects.Client
	timeout time.Duration
	calls   *prometheus.CounterVec
}

var _ store.Store = (*Client)(nil)

// New returns a client of the store at the base URL, such as "http://10.0.0.9:7070".
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
	return &Client{objects: objects.New(u.Host, purposeTransport{o.Transport}), timeout: o.Timeout, calls: calls}, nil
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, p store.Purpose, key string) (store.Object, error) {
	ctx, cancel := c.callContext(ctx, p, 0)
	defer cancel()
	kind, name := SplitKey(key)
	o, err := c.objects.Get(ctx, kind, name)
	if err != nil {
		return store.Object{}, c.count(p, readError(err))
	}
	out, err := valueOf(kind, o)
	return out, c.count(p, err)
}

// List returns the objects below prefix in key order.
func (c *Client) List(ctx context.Context, p store.Purpose, prefix string) ([]store.Object, error) {
	out, _, err := c.list(ctx, p, prefix)
	return out, c.count(p, err)
}

func (c *Client) list(ctx context.Context, p store.Purpose, prefix string) (out []store.Object, revision int64, err error) {
	kind, _ := SplitKey(prefix)
	next := func(after string) (*objects.Page, error) {
		page, err := c.page(ctx, p, kind, after)
		if err != nil {
			return nil, readError(err)
		}
		return page, nil
	}
	err = objects.EachPage(next, func(page *objects.Page) error {
		if revision == 0 {
			revision = page.Revision
		}
		for i := range page.Items {
			o, err := valueOf(kind, &page.Items[i])
			if err != nil {
				return err
			}
			if strings.HasPrefix(o.Key, prefix) {
				out = append(out, o)
			}
		}
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	return out, revision, nil
}

func (c *Client) page(ctx context.Context, p store.Purpose, kind, after string) (*objects.Page, error) {
	ctx, cancel := c.callContext(ctx, p, 0)
	defer cancel()
	return c.objects.List(ctx, kind, after, false)
}

// Watch waits for changes below prefix after the revision since. If the store no longer holds the
// changes since that revision, it returns the current objects.
func (c *Client) Watch(ctx context.Context, p store.Purpose, prefix string, since int64, wait time.Duration) ([]store.Object, int64, error) {
	if since == 0 {
		out, revision, err := c.list(ctx, p, prefix)
		return out, revision, c.count(p, err)
	}
	kind, _ := SplitKey(prefix)
	callCtx, cancel := c.callContext(ctx, p, wait)
	defer cancel()
	page, err := c.objects.Watch(callCtx, kind, since, wait)
	if errors.Is(err, objects.ErrHistoryGone) {
		out, revision, err := c.list(ctx, p, prefix)
		return out, revision, c.count(p, err)
	}
	if err != nil {
		return nil, since, c.count(p, readError(err))
	}
	out, err := changedObjects(kind, prefix, page.Events)
	return out, page.Revision, c.count(p, err)
}

// changedObjects returns the objects of a watch's events. A deleted object has Version 0.
func changedObjects(kind, prefix string, events []objects.Event) ([]store.Object, error) {
	var out []store.Object
	for i := range events {
		key := JoinKey(kind, events[i].Object.Meta.Name)
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		o := store.Object{Key: key}
		if !events[i].Deleted {
			var err error
			if o, err = valueOf(kind, &events[i].Object); err != nil {
				return nil, err
			}
		}
		out = append(out, o)
	}
	return out, nil
}

// VMs returns the platform's list of VMs, which may be outdated.
func (c *Client) VMs(ctx context.Context) ([]store.VM, error) {
	page, err := c.page(ctx, store.PurposeVMs, KindVMs, "")
	if err != nil {
		return nil, c.count(store.PurposeVMs, readError(err))
	}
	out := make([]store.VM, len(page.Items))
	for i := range page.Items {
		if err := json.Unmarshal(page.Items[i].Spec, &out[i]); err != nil {
			return nil, c.count(store.PurposeVMs, errors.Wrap(err, "decode VM"))
		}
	}
	return out, c.count(store.PurposeVMs, nil)
}

// Put writes value if the object's version is expect.
func (c *Client) Put(ctx context.Context, p store.Purpose, key string, value []byte, expect store.Version) (store.Version, error) {
	if len(value) > store.MaxValue {
		return 0, c.count(p, &TooLargeError{Key: key, Size: len(value)})
	}
	spec, err := EncodeValue(value)
	if err != nil {
		return 0, err
	}
	ctx, cancel := c.callContext(ctx, p, 0)
	defer cancel()
	kind, name := SplitKey(key)
	var o *objects.Object
	if expect == 0 {
		o, err = c.objects.Create(ctx, kind, name, spec)
	} else {
		o, err = c.objects.Replace(ctx, kind, name, int64(expect), spec)
	}
	if errors.Is(err, objects.ErrNotFound) {
		err = &store.ConflictError{Key: key}
	}
	if err != nil {
		return 0, c.count(p, changeError(key, err))
	}
	return store.Version(o.Meta.Revision), c.count(p, nil)
}

// Delete removes the object if its version is expect.
func (c *Client) Delete(ctx context.Context, p store.Purpose, key string, expect store.Version) error {
	ctx, cancel := c.callContext(ctx, p, 0)
	defer cancel()
	kind, name := SplitKey(key)
	err := c.objects.Delete(ctx, kind, name, int64(expect))
	if err != nil {
		err = changeError(key, err)
	}
	return c.count(p, err)
}

// callContext returns the context of one call, with its purpose and its timeout.
func (c *Client) callContext(ctx context.Context, p store.Purpose, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(withPurpose(ctx, p), c.timeout+wait)
}

// readError maps the error of a read to an error of package store.
func readError(err error) error {
	if errors.Is(err, objects.ErrNotFound) {
		return store.ErrNotFound
	}
	return unavailable(err)
}

// unavailable returns store.ErrUnavailable. It adds the text of err unless the store answered with an
// error status.
func unavailable(err error) error {
	var refusal *objects.StatusError
	if errors.As(err, &refusal) {
		return store.ErrUnavailable
	}
	return errors.WithMessage(store.ErrUnavailable, err.Error())
}

// changeError maps the error of a change to an error of package store. An unknown error may have
// occurred after the change took effect, so it maps to store.ErrNoAnswer.
func changeError(key string, err error) error {
	var conflict *objects.ConflictError
	var known *store.ConflictError
	var era *objects.EraError
	switch {
	case errors.As(err, &era) && !era.Done:
		return &store.ConflictError{Key: key}
	case errors.As(err, &known):
		return known
	case errors.As(err, &conflict):
		return &store.ConflictError{Key: key, Current: store.Version(conflict.Current.Meta.Revision)}
	case errors.Is(err, objects.ErrNotFound):
		return store.ErrNotFound
	case errors.Is(err, objects.ErrRefused):
		return unavailable(err)
	default:
		return errors.WithMessage(store.ErrNoAnswer, err.Error())
	}
}

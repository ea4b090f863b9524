// Package storeclient is a client of an object store that serves the built-in
// HTTP object API, which docs/PROTOCOLS.md describes. It never retries a call: a
// write without a response is reported as in doubt, and the code that made the
// call decides what to do.
package storeclient

import (
	"encoding/json"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/internal/httpanswer"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	headerVersion   = "Version"
	headerIfVersion = "If-Version"
	// watchTimeoutMargin is added to the wait of a watch for the timeout of the
	// call.
	watchTimeoutMargin = 2 * time.Second
	// maxConnections allows for up to five watches and three workers, and for
	// the calls that the daemon's loops make on goroutines of their own.
	maxConnections = 24
	// A list page holds several objects.
	maxResponseBytes = 16 << 20
	// maxDetailBytes bounds the part of a response body that an error quotes.
	maxDetailBytes = 200
)

// Client implements objectstore.Store over HTTP. It is safe for concurrent
// use.
type Client struct {
	base       string
	kindPrefix string
	http       *fasthttp.Client
	timeout    time.Duration
	callCount  *atomic.Int64
}

// sharedKinds are the kinds of objects that all environments have in common,
// because a document moves from one environment to another.
var sharedKinds = map[string]bool{
	document.Kind:        true,
	document.HistoryKind: true,
	document.InForceKind: true,
}

// ForEnvironment returns a client for the objects of one environment. Kinds
// other than those of documents are stored as "environment.kind", so that
// daemons of different environments never see each other's objects. The returned
// client shares its connections and its call count with c.
func (c *Client) ForEnvironment(environment string) *Client {
	client := *c
	client.kindPrefix = environment + "."
	return &client
}

// storedKind returns the name of a kind in the store, with the environment's
// prefix unless the kind is shared.
func (c *Client) storedKind(kind string) string {
	if sharedKinds[kind] {
		return kind
	}
	return c.kindPrefix + kind
}

// New returns a client of the store at address, "IP:port". Each call except
// Watch returns within timeout.
func New(address string, timeout time.Duration) *Client {
	return NewWithDialer(address, timeout, nil)
}

// NewWithDialer is like New but opens connections with dial. If dial is nil, it
// opens them as New does.
func NewWithDialer(address string, timeout time.Duration, dial fasthttp.DialFuncWithTimeout) *Client {
	return &Client{
		base:      "http://" + address + "/v1/",
		timeout:   timeout,
		callCount: new(atomic.Int64),
		http: &fasthttp.Client{
			Transport:                 httpanswer.Transport{},
			DialTimeout:               dial,
			MaxConnsPerHost:           maxConnections,
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxResponseBytes,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
				return false, false
			},
		},
	}
}

// CallCount returns the number of calls made so far, also by clients that
// ForEnvironment returned.
func (c *Client) CallCount() int64 {
	return c.callCount.Load()
}

// Get reads an object. It fails with StoreNotFound or StoreUnavailable.
func (c *Client) Get(kind, name string) (objectstore.Object, error) {
	object := objectstore.Object{Kind: kind, Name: name}
	resp, err := c.call(fasthttp.MethodGet, c.objectPath(kind, name), nil, nil, c.timeout)
	if err != nil {
		return object, err
	}
	object.Version = resp.version
	object.Value = resp.body
	return object, nil
}

// Put writes an object if its version is still ifVersion; 0 means that the
// object must not exist. It returns the new version, or the current one with
// StoreConflict. StoreDoubt means that the write may have been applied or may
// be applied later; StoreUnavailable means that it was never sent.
func (c *Client) Put(kind, name string, ifVersion uint64, value []byte) (uint64, error) {
	resp, err := c.call(fasthttp.MethodPut, c.objectPath(kind, name), &ifVersion, value, c.timeout)
	return resp.version, err
}

// Delete removes an object if its version is still ifVersion. It fails like
// Put, or with StoreNotFound.
func (c *Client) Delete(kind, name string, ifVersion uint64) error {
	_, err := c.call(fasthttp.MethodDelete, c.objectPath(kind, name), &ifVersion, nil, c.timeout)
	return err
}

// List returns up to limit objects of a kind whose names sort after the given
// one.
func (c *Client) List(kind, after string, limit int) (objectstore.Page, error) {
	var page objectstore.Page
	path := "objects/" + url.PathEscape(c.storedKind(kind)) + "?after=" + url.QueryEscape(after) + "&limit=" + strconv.Itoa(limit)
	resp, err := c.call(fasthttp.MethodGet, path, nil, nil, c.timeout)
	if err != nil {
		return page, err
	}
	err = decode(resp.body, &page)
	for i := range page.Items {
		page.Items[i].Kind = kind
	}
	return page, err
}

// Watch waits up to wait for changes of a kind after revision. It fails with
// StoreNotFound if the revision is too old; the objects then have to be listed
// again.
func (c *Client) Watch(kind string, revision uint64, wait time.Duration) (objectstore.Changes, error) {
	var changes objectstore.Changes
	path := "watch/" + url.PathEscape(c.storedKind(kind)) + "?revision=" + strconv.FormatUint(revision, 10) +
		"&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
	resp, err := c.call(fasthttp.MethodGet, path, nil, nil, wait+watchTimeoutMargin)
	if err != nil {
		return changes, err
	}
	err = decode(resp.body, &changes)
	for i := range changes.Events {
		changes.Events[i].Kind = kind
	}
	return changes, err
}

type response struct {
	version uint64
	body    []byte
}

func (c *Client) call(method, path string, ifVersion *uint64, body []byte, timeout time.Duration) (response, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + path)
	req.Header.SetMethod(method)
	if ifVersion != nil {
		req.Header.Set(headerIfVersion, strconv.FormatUint(*ifVersion, 10))
	}
	req.SetBody(body)
	c.callCount.Add(1)
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return response{}, objectstore.TransportError(method, path, err)
	}
	return readResponse(method, path, resp)
}

func readResponse(method, path string, resp *fasthttp.Response) (response, error) {
	version, _ := strconv.ParseUint(string(resp.Header.Peek(headerVersion)), 10, 64)
	out := response{version: version}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		out.body = append([]byte(nil), resp.Body()...)
		return out, nil
	case fasthttp.StatusConflict:
		return out, &result.Error{Code: result.StoreConflict, Field: path, Detail: "the current version is " + strconv.FormatUint(version, 10)}
	case fasthttp.StatusNotFound, fasthttp.StatusGone:
		return out, &result.Error{Code: result.StoreNotFound, Field: path}
	case fasthttp.StatusRequestEntityTooLarge:
		return out, &result.Error{Code: result.StoreTooLarge, Field: path}
	default:
		return out, unexpectedStatus(method, path, resp)
	}
}

// unexpectedStatus returns the error for a status without a meaning of its own.
// It leaves a write in doubt, even for "service unavailable": a proxy between
// the daemon and the store may have forwarded the write.
func unexpectedStatus(method, path string, resp *fasthttp.Response) error {
	code := result.StoreDoubt
	if method == fasthttp.MethodGet {
		code = result.StoreUnavailable
	}
	return &result.Error{Code: code, Field: path, Detail: "status " + strconv.Itoa(resp.StatusCode()) + ": " + bodyExcerpt(resp)}
}

func bodyExcerpt(resp *fasthttp.Response) string {
	body := resp.Body()
	if len(body) > maxDetailBytes {
		body = body[:maxDetailBytes]
	}
	return string(body)
}

func decode(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return &result.Error{Code: result.StoreUnavailable, Detail: "the store's answer is not JSON", Cause: err}
	}
	return nil
}

func (c *Client) objectPath(kind, name string) string {
	return "objects/" + url.PathEscape(c.storedKind(kind)) + "/" + url.PathEscape(name)
}

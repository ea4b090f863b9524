// Package storeclient speaks the object API of the platform's store, as
// docs/PROTOCOLS.md describes it. It never repeats a call by itself: a write
// whose answer was lost is reported as in doubt, and the caller decides.
package storeclient

import (
	"encoding/json"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	headerVersion   = "Version"
	headerIfVersion = "If-Version"
	watchGrace      = 2 * time.Second
	// maxConnections leaves room beside four watches and three workers for
	// the calls that duties make on goroutines of their own.
	maxConnections = 24
	maxResponse    = 16 << 20 // bytes; a list page holds several objects
	detailBytes    = 200
)

// Client calls the store. It is safe for concurrent use. It implements
// objectstore.Store.
type Client struct {
	base    string
	scope   string
	http    *fasthttp.Client
	timeout time.Duration
	calls   *atomic.Int64
}

// shared are the kinds that all environments have in common: a document goes
// from one environment to another.
var shared = map[string]bool{
	document.Kind:        true,
	document.HistoryKind: true,
	document.InForceKind: true,
}

// Scoped returns a client for the objects of one environment. Kinds other
// than those of documents stand in the store as "environment.kind", so that
// the daemons of two environments never meet.
func (c *Client) Scoped(environment string) *Client {
	scoped := *c
	scoped.scope = environment + "."
	return &scoped
}

// kindInStore returns a kind's name in the store.
func (c *Client) kindInStore(kind string) string {
	if shared[kind] {
		return kind
	}
	return c.scope + kind
}

// New returns a client of the store at address, "IP:port". Each call but a
// watch ends within timeout.
func New(address string, timeout time.Duration) *Client {
	return NewDialing(address, timeout, nil)
}

// NewDialing is New with connections that dial opens; nil opens them as New
// does.
func NewDialing(address string, timeout time.Duration, dial fasthttp.DialFuncWithTimeout) *Client {
	return &Client{
		base:    "http://" + address + "/v1/",
		timeout: timeout,
		calls:   new(atomic.Int64),
		http: &fasthttp.Client{
			DialTimeout:               dial,
			MaxConnsPerHost:           maxConnections,
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxResponse,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
				return false, false
			},
		},
	}
}

// Calls returns how many calls were made so far.
func (c *Client) Calls() int64 {
	return c.calls.Load()
}

// Get reads an object. Its errors are StoreNotFound and StoreUnavailable.
func (c *Client) Get(kind, name string) (objectstore.Object, error) {
	object := objectstore.Object{Kind: kind, Name: name}
	answer, err := c.call(fasthttp.MethodGet, c.objectPath(kind, name), nil, nil, c.timeout)
	if err != nil {
		return object, err
	}
	object.Version = answer.version
	object.Value = answer.body
	return object, nil
}

// Put writes an object if its version is still ifVersion; 0 means that it
// must not exist. It returns the new version. With StoreConflict it returns
// the current version. StoreDoubt means that the write may have landed or may
// land later; StoreUnavailable means that it was never sent.
func (c *Client) Put(kind, name string, ifVersion uint64, value []byte) (uint64, error) {
	answer, err := c.call(fasthttp.MethodPut, c.objectPath(kind, name), &ifVersion, value, c.timeout)
	return answer.version, err
}

// Delete removes an object if its version is still ifVersion. Its errors are
// those of Put, and StoreNotFound.
func (c *Client) Delete(kind, name string, ifVersion uint64) error {
	_, err := c.call(fasthttp.MethodDelete, c.objectPath(kind, name), &ifVersion, nil, c.timeout)
	return err
}

// List returns up to limit objects of a kind whose names follow after.
func (c *Client) List(kind, after string, limit int) (objectstore.Page, error) {
	var page objectstore.Page
	path := "objects/" + url.PathEscape(c.kindInStore(kind)) + "?after=" + url.QueryEscape(after) + "&limit=" + strconv.Itoa(limit)
	answer, err := c.call(fasthttp.MethodGet, path, nil, nil, c.timeout)
	if err != nil {
		return page, err
	}
	err = decode(answer.body, &page)
	for i := range page.Items {
		page.Items[i].Kind = kind
	}
	return page, err
}

// Watch waits up to wait for changes of a kind after revision. It returns
// StoreNotFound if the revision is too old: list again.
func (c *Client) Watch(kind string, revision uint64, wait time.Duration) (objectstore.Changes, error) {
	var changes objectstore.Changes
	path := "watch/" + url.PathEscape(c.kindInStore(kind)) + "?revision=" + strconv.FormatUint(revision, 10) +
		"&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
	answer, err := c.call(fasthttp.MethodGet, path, nil, nil, wait+watchGrace)
	if err != nil {
		return changes, err
	}
	err = decode(answer.body, &changes)
	for i := range changes.Events {
		changes.Events[i].Kind = kind
	}
	return changes, err
}

type answer struct {
	version uint64
	body    []byte
}

func (c *Client) call(method, path string, ifVersion *uint64, body []byte, timeout time.Duration) (answer, error) {
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
	c.calls.Add(1)
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return answer{}, objectstore.Unanswered(method, path, err)
	}
	return readAnswer(method, path, resp)
}

func readAnswer(method, path string, resp *fasthttp.Response) (answer, error) {
	version, _ := strconv.ParseUint(string(resp.Header.Peek(headerVersion)), 10, 64)
	a := answer{version: version}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		a.body = append([]byte(nil), resp.Body()...)
		return a, nil
	case fasthttp.StatusConflict:
		return a, &result.Error{Code: result.StoreConflict, Field: path, Detail: "the current version is " + strconv.FormatUint(version, 10)}
	case fasthttp.StatusNotFound, fasthttp.StatusGone:
		return a, &result.Error{Code: result.StoreNotFound, Field: path}
	case fasthttp.StatusRequestEntityTooLarge:
		return a, &result.Error{Code: result.StoreTooLarge, Field: path}
	default:
		return a, unexpected(method, path, resp)
	}
}

// Any other answer leaves a write in doubt, a "service unavailable" too: what
// stands between the daemon and the store may have passed the write on.
func unexpected(method, path string, resp *fasthttp.Response) error {
	code := result.StoreDoubt
	if method == fasthttp.MethodGet {
		code = result.StoreUnavailable
	}
	return &result.Error{Code: code, Field: path, Detail: "status " + strconv.Itoa(resp.StatusCode()) + ": " + detail(resp)}
}

func detail(resp *fasthttp.Response) string {
	body := resp.Body()
	if len(body) > detailBytes {
		body = body[:detailBytes]
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
	return "objects/" + url.PathEscape(c.kindInStore(kind)) + "/" + url.PathEscape(name)
}

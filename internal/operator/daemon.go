package operator

import (
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/explain"
	"github.com/rhubarbring/rhubarbring/internal/httpanswer"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/status"
)

// httpClient sends requests to the control addresses of daemons.
type httpClient struct {
	client  *fasthttp.Client
	timeout time.Duration
}

func newHTTPClient(timeout time.Duration) *httpClient {
	return &httpClient{client: &fasthttp.Client{Transport: httpanswer.Transport{}, MaxIdemponentCallAttempts: 1}, timeout: timeout}
}

// Status returns the status of the daemon at a control address.
func (c *Client) Status(daemon string) (*status.Daemon, error) {
	var s status.Daemon
	if err := c.http.get(daemon, "/status", &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Explain returns what the daemon at a control address knows about a key.
func (c *Client) Explain(daemon string, app key.App, k string) (*status.Key, error) {
	var answer status.Key
	query := "/explain?app=" + url.QueryEscape(string(app)) + "&key=" + url.QueryEscape(k)
	if err := c.http.get(daemon, query, &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}

// ExplainRequest returns where a request would go by the daemon at a control
// address.
func (c *Client) ExplainRequest(daemon string, q explain.Query) (*explain.Answer, error) {
	var answer explain.Answer
	args := url.Values{}
	for name, value := range map[string]string{"host": q.Host, "path": q.Path, "app": string(q.App), "key": q.Key, "method": q.Method, "bytes": strconv.Itoa(q.Bytes)} {
		args.Set(name, value)
	}
	if err := c.http.get(daemon, "/explain/request?"+args.Encode(), &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}

func (c *httpClient) get(daemon, path string, into any) error {
	code, body, err := c.client.GetTimeout(nil, "http://"+daemon+path, c.timeout)
	if err != nil {
		return &result.Error{Code: result.PeerUnreachable, Field: daemon, Cause: err, Remedy: "check the address and whether the daemon runs"}
	}
	if text := errorText(body); text != "" && (code == fasthttp.StatusBadRequest || code == fasthttp.StatusNotFound) {
		return &result.Error{Code: result.BadRequest, Field: daemon, Detail: text}
	}
	if code != fasthttp.StatusOK {
		return &result.Error{Code: result.PeerUnreachable, Field: daemon, Detail: "status " + strconv.Itoa(code) + ": " + string(body)}
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &result.Error{Code: result.BadFrame, Field: daemon, Cause: err, Remedy: "check that it is the control address of a daemon"}
	}
	return nil
}

// errorText returns the error that a daemon's answer carries; empty if it carries
// none.
func errorText(body []byte) string {
	var answer struct {
		Error string `json:"error"`
	}
	_ = json.Unmarshal(body, &answer) // Other answers carry none.
	return answer.Error
}

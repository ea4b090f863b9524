package entry

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// Limits of the built-in protocol.
const (
	MaxBodyBytes   = 1 << 20
	headerTimeout  = 10 * time.Second
	bodyProgress   = 15 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
)

// API is the built-in protocol for callers.
type API struct {
	ids *idSource
}

// NewAPI returns the built-in protocol. The seed and the time seed the generator
// of ids for requests that come without one.
func NewAPI(seed uint64) *API {
	return &API{ids: newIDSource(seed)}
}

// Options implements Protocol.
func (p *API) Options() Options {
	return Options{
		MaxBodyBytes:   MaxBodyBytes,
		MaxHeaderBytes: maxHeaderBytes,
		HeaderTimeout:  headerTimeout,
		BodyProgress:   bodyProgress,
		IdleTimeout:    idleTimeout,
	}
}

// WriteAnswer implements Protocol.
func (p *API) WriteAnswer(resp *fasthttp.Response, answer *request.Answer) {
	h := &resp.Header
	info, ok := result.Lookup(answer.Code)
	if !ok {
		info, _ = result.Lookup(result.OutcomeUnknown)
	}
	setResult(resp, answer.ID, info)
	if answer.Owner != "" {
		h.Set("Rhubarb-Owner", answer.Owner)
		h.Set("Rhubarb-Epoch", strconv.FormatUint(answer.Epoch, 10))
	}
	setRetryAfter(resp, answer.RetryAfter)
	if info.Outcome != result.Done {
		writeRefusal(resp, info, "")
		return
	}
	resp.SetStatusCode(answer.Status)
	resp.Header.SetContentType(answer.ContentType)
	resp.SetBodyRaw(answer.Body)
}

func setResult(resp *fasthttp.Response, id string, info result.Info) {
	h := &resp.Header
	h.Set("Rhubarb-Code", strconv.Itoa(int(info.Code)))
	h.Set("Rhubarb-Result", info.Name)
	h.Set("Rhubarb-Outcome", info.Outcome.String())
	if id != "" {
		h.Set("Rhubarb-Request-Id", id)
	}
}

func setRetryAfter(resp *fasthttp.Response, after time.Duration) {
	if after <= 0 {
		return
	}
	seconds := int(math.Ceil(after.Seconds()))
	resp.Header.Set("Retry-After", strconv.Itoa(seconds))
	resp.Header.Set("Rhubarb-Retry-After", strconv.FormatInt(after.Milliseconds(), 10))
}

// refusalBody is the JSON body of a response that does not come from the
// target.
type refusalBody struct {
	Code    uint16 `json:"code"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail,omitempty"`
	Advice  string `json:"advice"`
}

func writeRefusal(resp *fasthttp.Response, info result.Info, detail string) {
	body, err := json.Marshal(refusalBody{uint16(info.Code), info.Name, info.Outcome.String(), detail, info.Advice})
	if err != nil {
		resp.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	resp.SetStatusCode(info.HTTPStatus)
	resp.Header.SetContentType("application/json")
	resp.SetBody(body)
}

// WriteRefusal implements Protocol. If the request has an id and may be a
// repeat, an earlier attempt may have run, which this daemon can't know:
// CodeForCaller then replaces a code whose outcome is "not run".
func (p *API) WriteRefusal(resp *fasthttp.Response, r *request.Request, err *result.Error, retryAfter time.Duration) {
	setRetryAfter(resp, retryAfter)
	code := err.Code
	if r.ID != "" {
		code = request.CodeForCaller(r, code)
	}
	info, _ := result.Lookup(code)
	setResult(resp, r.ID, info)
	writeRefusal(resp, info, detailOf(err))
}

func detailOf(err *result.Error) string {
	if err.Field == "" {
		return err.Detail
	}
	return err.Field + ": " + err.Detail
}

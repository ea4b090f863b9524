package entry

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	pathPrefix  = "/app/"
	maxIDBytes  = 64
	maxKeyBytes = 512
	// uuidBytes is the length of a UUID in text form. The first 12 hexadecimal
	// digits of version 7 are the time of its creation in milliseconds since
	// 1970.
	uuidBytes        = 36
	uuidVersionIndex = 14
	uuidTimeDigits   = 12
)

// Parse implements Protocol.
func (p *API) Parse(req *fasthttp.Request, router Router) (Submission, *result.Error) {
	sub := Submission{Request: &request.Request{AcceptedMs: time.Now().UnixMilli()}}
	app, path, err := splitPath(req)
	if err != nil {
		return sub, err
	}
	r := sub.Request
	r.App = key.App(app)
	r.Path = path
	r.Method = string(req.Header.Method())
	r.ContentType = string(req.Header.ContentType())
	r.Body = req.Body()
	if err := p.parseID(req, r); err != nil {
		return sub, err
	}
	if err := parseClassAndIdempotent(req, r); err != nil {
		return sub, err
	}
	limits, limitsErr := router.AppLimits(app)
	if limitsErr != nil {
		return sub, asResultError(limitsErr)
	}
	if err := parseKey(req, r, limits); err != nil {
		return sub, err
	}
	budget, err := parseDeadline(req, limits)
	if err != nil {
		return sub, err
	}
	r.Budget = budget
	sub.Deadline = now().Add(budget)
	return sub, nil
}

func asResultError(err error) *result.Error {
	if e, ok := err.(*result.Error); ok {
		return e
	}
	return &result.Error{Code: result.BadRequest, Detail: err.Error()}
}

// splitPath returns the app, and the path with query that is sent to the
// target.
func splitPath(req *fasthttp.Request) (app, path string, err *result.Error) {
	raw := string(req.Header.RequestURI())
	rest, ok := strings.CutPrefix(raw, pathPrefix)
	if !ok {
		return "", "", &result.Error{Code: result.BadRequest, Field: "path", Detail: "the path must start with /app/NAME/"}
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		return rest, "/", nil
	}
	app, path = rest[:end], rest[end:]
	if path[0] == '?' {
		path = "/" + path
	}
	if app == "" {
		return "", "", &result.Error{Code: result.BadRequest, Field: "path", Detail: "the app's name is empty"}
	}
	return app, path, nil
}

func (p *API) parseID(req *fasthttp.Request, r *request.Request) *result.Error {
	id := string(req.Header.Peek("Rhubarb-Request-Id"))
	if id == "" {
		r.ID = p.ids.next()
		r.Repeat = request.RepeatFirst
		r.IDTimeMs = uuidTimeMs(r.ID)
		return nil
	}
	if len(id) > maxIDBytes || !isPrintableASCII(id) {
		return &result.Error{Code: result.BadRequestID, Field: "Rhubarb-Request-Id", Detail: "an id has 1 to 64 printable characters"}
	}
	r.ID = id
	r.IDTimeMs = uuidTimeMs(id)
	return parseRepeat(req, r)
}

func parseRepeat(req *fasthttp.Request, r *request.Request) *result.Error {
	if text := string(req.Header.Peek("Rhubarb-Id-Time")); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return &result.Error{Code: result.BadRequestID, Field: "Rhubarb-Id-Time", Detail: "not milliseconds since 1970"}
		}
		r.IDTimeMs = ms
	}
	text := string(req.Header.Peek("Rhubarb-Attempt"))
	if text == "" {
		return nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || n == 0 {
		return &result.Error{Code: result.BadRequest, Field: "Rhubarb-Attempt", Detail: "not a count from 1"}
	}
	r.Repeat = request.RepeatAgain
	if n == 1 {
		r.Repeat = request.RepeatFirst
	}
	return nil
}

func parseClassAndIdempotent(req *fasthttp.Request, r *request.Request) *result.Error {
	switch string(req.Header.Peek("Rhubarb-Class")) {
	case "", "normal":
		r.Class = request.Normal
	case "urgent":
		r.Class = request.Urgent
	default:
		return &result.Error{Code: result.BadRequest, Field: "Rhubarb-Class", Detail: "neither urgent nor normal"}
	}
	switch string(req.Header.Peek("Rhubarb-Idempotent")) {
	case "":
		r.Idempotent = req.Header.IsGet() || req.Header.IsHead() || req.Header.IsOptions()
	case "true":
		r.Idempotent = true
	case "false":
		r.Idempotent = false
	default:
		return &result.Error{Code: result.BadRequest, Field: "Rhubarb-Idempotent", Detail: "neither true nor false"}
	}
	return nil
}

func parseKey(req *fasthttp.Request, r *request.Request, limits Limits) *result.Error {
	r.Key = string(req.Header.Peek("Rhubarb-Key"))
	if r.Key == "" && limits.DividedByKey {
		return &result.Error{Code: result.MissingKey, Field: "Rhubarb-Key", Detail: "app " + string(r.App) + " is divided by key"}
	}
	if len(r.Key) > maxKeyBytes {
		return &result.Error{Code: result.BadRequest, Field: "Rhubarb-Key", Detail: "a key has at most 512 bytes"}
	}
	return nil
}

func parseDeadline(req *fasthttp.Request, limits Limits) (time.Duration, *result.Error) {
	text := string(req.Header.Peek("Rhubarb-Deadline"))
	if text == "" {
		return limits.DefaultDeadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	budget := time.Duration(ms) * time.Millisecond
	if err != nil || ms <= 0 || budget > limits.MaxDeadline {
		return 0, &result.Error{
			Code:   result.BadDeadline,
			Field:  "Rhubarb-Deadline",
			Detail: strconv.Quote(text) + " is not between 1 and " + strconv.FormatInt(limits.MaxDeadline.Milliseconds(), 10) + " milliseconds",
		}
	}
	return budget, nil
}

func isPrintableASCII(id string) bool {
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}

// uuidTimeMs returns the creation time of a UUID of version 7 in milliseconds
// since 1970, or 0 if the id is not such a UUID.
func uuidTimeMs(id string) int64 {
	if len(id) != uuidBytes || id[uuidVersionIndex] != '7' || id[8] != '-' || id[13] != '-' {
		return 0
	}
	digits := id[0:8] + id[9:13]
	ms, err := strconv.ParseInt(digits[:uuidTimeDigits], 16, 64)
	if err != nil {
		return 0
	}
	return ms
}

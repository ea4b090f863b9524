package daemon

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/alarm"
	"github.com/rhubarbring/rhubarbring/internal/httpanswer"
	"github.com/rhubarbring/rhubarbring/result"
)

const deliverTimeout = 3 * time.Second

// alarmReceiver is the client of the receiver of alarms that the document names.
type alarmReceiver struct {
	client *fasthttp.Client
}

func newAlarmReceiver() *alarmReceiver {
	return &alarmReceiver{client: &fasthttp.Client{Transport: httpanswer.Transport{}}}
}

// post sends an alarm to the receiver at a URL. It returns an error unless the receiver
// answers that it has taken the alarm, by a status from 200 to 299.
func (r *alarmReceiver) post(url string, a alarm.Alarm) error {
	body, err := json.Marshal(a)
	if err != nil {
		return err
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	if err := r.client.DoTimeout(req, resp, deliverTimeout); err != nil {
		return err
	}
	if status := resp.StatusCode(); status/100 != 2 {
		return &result.Error{Code: result.TargetUnavailable, Field: "alarm.receiver", Detail: "status " + strconv.Itoa(status)}
	}
	return nil
}

package entry

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

func BenchmarkParse(b *testing.B) {
	var req fasthttp.Request
	req.Header.SetMethod("POST")
	req.SetRequestURI("/app/pay/items?page=2")
	req.Header.SetContentType("application/json")
	req.Header.Set("Rhubarb-Key", "item-1")
	req.Header.Set("Rhubarb-Request-Id", "0198a2b4-7c1d-7e3f-8a5b-6c7d8e9f0a1b")
	req.Header.Set("Rhubarb-Attempt", "1")
	req.Header.Set("Rhubarb-Deadline", "250")
	req.SetBody(make([]byte, 1024))
	api := NewAPI(1)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := api.Parse(&req, overloadedRouter{}); err != nil {
			must.NoError(b, err)
		}
	}
}

package profile_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/internal/profile"
)

func TestServerServesProfilesUntilClosed(t *testing.T) {
	s, err := profile.Serve("127.0.0.1:0")
	must.NoError(t, err)
	url := "http://" + s.Address() + "/debug/pprof/heap"
	resp, err := http.Get(url)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, http.StatusOK, resp.StatusCode)
	s.Close()
	_, err = http.Get(url)
	must.Error(t, err)
}

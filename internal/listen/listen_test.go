package listen_test

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/internal/listen"
	"github.com/rhubarbring/rhubarbring/result"
)

func TestAddressInUseErrorNamesField(t *testing.T) {
	first, err := listen.TCP("address", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = first.Close() }()
	_, err = listen.TCP("address", first.Addr().String())
	must.True(t, errors.Is(err, &result.Error{Code: result.AddressInUse}))
	must.StrContains(t, err.Error(), "address: another process listens at")
}

func TestBadAddressIsSettingsError(t *testing.T) {
	for _, address := range []string{"", "localhost:1", "127.0.0.1", "203.0.113.1:80"} {
		_, err := listen.TCP("address", address)
		must.True(t, errors.Is(err, &result.Error{Code: result.BadSettings}), must.Sprint(address))
	}
}

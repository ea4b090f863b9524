// Package listen opens the TCP addresses that a process serves. An address that
// can't be used is reported as an error that names the setting and a remedy.
package listen

import (
	"errors"
	"net"
	"net/netip"
	"syscall"

	"github.com/rhubarbring/rhubarbring/result"
)

// TCP listens on an "IP:port" address. Errors name field, the setting that holds
// the address. It returns AddressInUse if another process listens there, and
// BadSettings if the address is malformed or listening fails otherwise.
func TCP(field, address string) (net.Listener, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, &result.Error{
			Code:   result.BadSettings,
			Field:  field,
			Detail: "the address " + address + " is not of the form IP:port",
			Remedy: "write it like 127.0.0.1:20000",
		}
	}
	ln, err := net.Listen("tcp", address)
	if err == nil {
		return ln, nil
	}
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, &result.Error{
			Code:   result.AddressInUse,
			Field:  field,
			Detail: "another process listens at " + address,
			Remedy: "free the address or name another",
		}
	}
	return nil, &result.Error{
		Code:   result.BadSettings,
		Field:  field,
		Detail: "cannot listen at " + address,
		Cause:  err,
		Remedy: "name an address of this host",
	}
}

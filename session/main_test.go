package session_test

import (
	"flag"
	"os"
	"testing"
)

// The properties are checked with the same draws each time.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

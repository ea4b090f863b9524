package cli_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/internal/cli"
	"github.com/rhubarbring/rhubarbring/result"
)

func TestExitCodes(t *testing.T) {
	cases := []struct {
		name string
		args []string
		err  error
		want int
		line string
	}{
		{"success", nil, nil, cli.ExitOK, ""},
		{"failed", nil, errors.New("broken"), cli.ExitFailed, "tool: broken\n"},
		{"already reported", nil, cli.ErrReported, cli.ExitFailed, ""},
		{"wrong settings", nil, &result.Error{Code: result.AddressInUse, Field: "address"}, cli.ExitUsage, "tool: address_in_use (401) address\n"},
		{"unknown flag", []string{"--none"}, nil, cli.ExitUsage, "tool: bad_settings (400) flag: unknown flag: --none; see --help\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var stderr bytes.Buffer
			cmd := &cobra.Command{Use: "tool", RunE: func(*cobra.Command, []string) error { return c.err }}
			cmd.SetArgs(c.args)
			must.Eq(t, c.want, cli.Run(cmd, &stderr))
			must.Eq(t, c.line, stderr.String())
		})
	}
}

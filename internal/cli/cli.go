// Package cli runs the command line of a binary and reports its error as text
// and an exit code.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/result"
)

// The exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// inputCodes are the result codes of errors in the operator's input: flags,
// settings, documents and requests.
var inputCodes = map[result.Code]bool{
	result.BadSettings:  true,
	result.AddressInUse: true,
	result.BadDocument:  true,
	result.BadRequest:   true,
}

// ErrReported makes a command fail without an error line, for commands that
// have already reported the failure.
var ErrReported = errors.New("failed")

// Run executes the command and returns the exit code. An error is written to
// stderr, preceded by the command's name.
func Run(cmd *cobra.Command, stderr io.Writer) int {
	cmd.SilenceErrors = true
	cmd.SilenceUsage = true
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &result.Error{Code: result.BadSettings, Field: "flag", Cause: err, Remedy: "see --help"}
	})
	err := cmd.Execute()
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, ErrReported) {
		return ExitFailed
	}
	fmt.Fprintf(stderr, "%s: %s\n", cmd.Name(), err)
	if isInputError(err) {
		return ExitUsage
	}
	return ExitFailed
}

func isInputError(err error) bool {
	var e *result.Error
	if !errors.As(err, &e) {
		return false
	}
	return inputCodes[e.Code]
}

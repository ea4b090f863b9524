package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/internal/operator"
)

func (t *tool) traceCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "trace ID FILE...",
		Short: "Collect a request's log lines from several logs, and mark the decision that determined its result",
		Long: `trace reads logs of daemons and shows, in the order of their time, the lines of
the request and of the calls that its target made for it. An arrow marks the
decision that determined the result. "-" reads the standard input.`,
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			logs, closeAll, err := openLogs(cmd, args[1:])
			if err != nil {
				return err
			}
			defer closeAll()
			trace, err := operator.ReadTrace(args[0], logs)
			if err != nil {
				return err
			}
			return t.printResult(cmd, trace, func(w io.Writer) { writeTrace(w, trace) })
		},
	}
}

// openLogs opens the logs. closeAll closes them.
func openLogs(cmd *cobra.Command, names []string) (logs []io.Reader, closeAll func(), err error) {
	var files []*os.File
	closeAll = func() {
		for _, f := range files {
			_ = f.Close() // It was only read.
		}
	}
	for _, name := range names {
		if name == "-" {
			logs = append(logs, cmd.InOrStdin())
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, settingsError("FILE", err.Error(), "name a log that can be read")
		}
		files = append(files, f)
		logs = append(logs, f)
	}
	return logs, closeAll, nil
}

func writeTrace(w io.Writer, trace *operator.Trace) {
	if len(trace.Lines) == 0 {
		fmt.Fprintln(w, "no log line has this id")
		return
	}
	for i, l := range trace.Lines {
		mark := ""
		if i == trace.Decision {
			mark = "->"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", mark, l.At.Format(time.RFC3339Nano), l.Host, l.Name, strings.Join(l.Fields, " "))
	}
}

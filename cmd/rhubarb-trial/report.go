package main

import (
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/internal/judge"
	"github.com/rhubarbring/rhubarbring/internal/report"
)

const (
	reportStep = 500 * time.Millisecond
	// reportGap is the length of the shortest gap that the report shows.
	reportGap = 250 * time.Millisecond
)

func reportCommand() *cobra.Command {
	var dir, title string
	cmd := &cobra.Command{
		Use:   "report",
		Short: "Draw a trial on one page, report.html, and its plots, report.png",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			in, err := readInput(dir)
			if err != nil {
				return err
			}
			page := report.Page{Title: title, Verdict: judge.Judge(in), Timeline: judge.NewTimeline(in, reportStep, reportGap)}
			return writeReport(dir, page)
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "trial", "directory of the trial, where the report goes too")
	cmd.Flags().StringVar(&title, "title", "Trial", "title of the page")
	return cmd
}

func writeReport(dir string, page report.Page) error {
	if err := writeTo(filepath.Join(dir, "report.png"), func(w io.Writer) error {
		return report.WritePNG(w, page.Timeline)
	}); err != nil {
		return err
	}
	return writeTo(filepath.Join(dir, "report.html"), func(w io.Writer) error {
		return report.WriteHTML(w, page)
	})
}

func writeTo(name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

package main

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/judge"
	"github.com/rhubarbring/rhubarbring/internal/storeclient"
	"github.com/rhubarbring/rhubarbring/internal/trial"
	"github.com/rhubarbring/rhubarbring/outcome"
)

const (
	callTimeout = time.Second
	pollPeriod  = 50 * time.Millisecond
	fileMode    = 0o644
	listLimit   = 1000
)

// statusOf returns the status of a GET, or 0 if it was not answered within
// callTimeout.
func statusOf(url string) int {
	status, _, err := fasthttp.GetTimeout(nil, url, callTimeout)
	if err != nil {
		return 0
	}
	return status
}

func waitCommand() *cobra.Command {
	var status int
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "wait URL...",
		Short: "Wait until every URL answers",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, urls []string) error {
			deadline := time.Now().Add(timeout)
			for _, url := range urls {
				if err := waitFor(url, status, deadline); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&status, "status", 0, "status to wait for; 0 takes any")
	cmd.Flags().DurationVar(&timeout, "for", 20*time.Second, "longest wait")
	return cmd
}

// waitFor polls url until it answers with status, or with any status if status
// is 0. It fails after deadline.
func waitFor(url string, status int, deadline time.Time) error {
	for {
		got := statusOf(url)
		if got == status || (got != 0 && status == 0) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: status %d at the end of the wait", url, got)
		}
		time.Sleep(pollPeriod)
	}
}

func getCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "get URL",
		Short: "Write the body of an answer with status 200",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			status, body, err := fasthttp.GetTimeout(nil, args[0], callTimeout)
			if err != nil {
				return err
			}
			if status != fasthttp.StatusOK {
				return fmt.Errorf("%s: status %d: %s", args[0], status, body)
			}
			fmt.Fprintln(cmd.OutOrStdout(), string(body))
			return nil
		},
	}
}

func postCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "post URL BODY",
		Short: "Post a body and expect status 200",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			defer fasthttp.ReleaseRequest(req)
			defer fasthttp.ReleaseResponse(resp)
			req.SetRequestURI(args[0])
			req.Header.SetMethod(fasthttp.MethodPost)
			req.SetBodyString(args[1])
			if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
				return err
			}
			if resp.StatusCode() != fasthttp.StatusOK {
				return fmt.Errorf("%s: status %d: %s", args[0], resp.StatusCode(), resp.Body())
			}
			return nil
		},
	}
}

func uploadCommand() *cobra.Command {
	var store, file string
	cmd := &cobra.Command{
		Use:   "upload",
		Short: "Write a document as the first version of the trial environment",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return upload(store, file) },
	}
	cmd.Flags().StringVar(&store, "store", "http://127.0.0.1:20000", "address of the store")
	cmd.Flags().StringVar(&file, "file", "examples/rayuela.json", "document")
	return cmd
}

// upload checks a document and writes it to the store as version 1 of the trial
// environment. It fails if the environment has a document already.
func upload(store, file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if _, problems := document.Parse(raw); problems.Err() != nil {
		return problems.Err()
	}
	stored := document.Stored{
		Version: 1, Hash: document.HashOf(raw), Content: string(raw), Token: rand.Text(), Who: "trial", When: time.Now().UTC(),
	}
	value, err := stored.Encode()
	if err != nil {
		return err
	}
	_, err = newStoreClient(store).Put(document.Kind, trial.Environment, 0, value)
	return err
}

func newStoreClient(url string) *storeclient.Client {
	return storeclient.New(strings.TrimPrefix(url, "http://"), callTimeout)
}

func markCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "mark FAULT PHASE [HOST]",
		Short: "Append a line to the fault timeline",
		Args:  cobra.RangeArgs(2, 3),
		RunE: func(_ *cobra.Command, args []string) error {
			m := judge.FaultRecord{AtNs: int64(bootclock.Now()), Fault: judge.FaultKind(args[0]), Phase: judge.Phase(args[1])}
			if len(args) > 2 {
				m.Host = args[2]
			}
			return appendLine(file, m)
		},
	}
	cmd.Flags().StringVar(&file, "file", "trial/faults.jsonl", "timeline file")
	return cmd
}

// appendLine appends v as a line of JSON.
func appendLine(name string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	if _, err := file.Write(append(raw, '\n')); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func keptCommand() *cobra.Command {
	var store, file string
	cmd := &cobra.Command{
		Use:   "kept",
		Short: "Save the ids of the outcomes kept in the store to a file",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return saveKept(store, file) },
	}
	cmd.Flags().StringVar(&store, "store", "http://127.0.0.1:20000", "address of the store")
	cmd.Flags().StringVar(&file, "file", "trial/outcomes.json", "file to write")
	return cmd
}

// saveKept writes the ids of all outcomes in the store to a file, as a JSON
// array.
func saveKept(store, file string) error {
	client := newStoreClient(store).ForEnvironment(trial.Environment)
	ids := []string{}
	for after := ""; ; {
		page, err := client.List(outcome.Kind, after, listLimit)
		if err != nil {
			return err
		}
		for _, item := range page.Items {
			batch, err := outcome.Decode(item.Value)
			if err != nil {
				return err
			}
			for _, o := range batch.Outcomes {
				ids = append(ids, o.ID)
			}
		}
		if after = page.Next; after == "" {
			break
		}
	}
	raw, err := json.Marshal(ids)
	if err != nil {
		return err
	}
	return os.WriteFile(file, raw, fileMode)
}

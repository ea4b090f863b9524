package main

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/internal/cli"
	"github.com/rhubarbring/rhubarbring/internal/fakestore"
	"github.com/rhubarbring/rhubarbring/internal/storeclient"
	"github.com/rhubarbring/rhubarbring/internal/trial"
	"github.com/rhubarbring/rhubarbring/outcome"
)

// run executes the command line and returns its exit code and output.
func run(args ...string) (int, string) {
	var out bytes.Buffer
	cmd := command()
	cmd.SetArgs(args)
	cmd.SetOut(&out)
	return cli.Run(cmd, &out), out.String()
}

// startStore serves a store for the test and returns its address.
func startStore(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := fakestore.New(fakestore.Config{Seed: 1, History: 10})
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	t.Cleanup(func() {
		must.NoError(t, server.Close())
		must.NoError(t, <-done)
	})
	return ln.Addr().String()
}

func TestUploadRejectsSecondDocumentAndKeptSavesIDs(t *testing.T) {
	address := startStore(t)
	example := filepath.Join("..", "..", "examples", "rayuela.json")
	code, out := run("upload", "--store", "http://"+address, "--file", example)
	must.Eq(t, cli.ExitOK, code, must.Sprint(out))
	client := storeclient.New(address, time.Second)
	object, err := client.Get(document.Kind, "trial")
	must.NoError(t, err)
	stored, err := document.DecodeStored(object.Value)
	must.NoError(t, err)
	raw, err := os.ReadFile(example)
	must.NoError(t, err)
	must.Eq(t, string(raw), stored.Content)
	code, out = run("upload", "--store", "http://"+address, "--file", example)
	must.Eq(t, cli.ExitFailed, code)
	must.StrContains(t, out, "store_conflict")

	batch := outcome.Batch{Name: "a", Outcomes: []outcome.Outcome{{ID: "id-1"}, {ID: "id-2"}}}
	value, err := batch.Encode()
	must.NoError(t, err)
	_, err = client.ForEnvironment(trial.Environment).Put(outcome.Kind, batch.Name, 0, value)
	must.NoError(t, err)
	file := filepath.Join(t.TempDir(), "outcomes.json")
	code, _ = run("kept", "--store", "http://"+address, "--file", file)
	must.Eq(t, cli.ExitOK, code)
	var kept []string
	must.NoError(t, readJSON(file, &kept))
	must.Eq(t, []string{"id-1", "id-2"}, kept)
}

func TestWaitAndPostFailOnOtherStatus(t *testing.T) {
	base := "http://" + startStore(t)
	code, _ := run("wait", "--status", "200", base+"/stand/calls")
	must.Eq(t, cli.ExitOK, code)
	code, out := run("wait", "--status", "200", "--for", "1ms", base+"/none")
	must.Eq(t, cli.ExitFailed, code)
	must.StrContains(t, out, "status 404")
	code, _ = run("post", base+"/stand/fault", "{}")
	must.Eq(t, cli.ExitOK, code)
	code, _ = run("post", base+"/stand/fault", "no JSON")
	must.Eq(t, cli.ExitFailed, code)
}

// writeFile writes a file into the directory of a trial.
func writeFile(t *testing.T, dir, name, text string) {
	must.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), fileMode))
}

func TestJudgeAndReportReadFilesOfTrial(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "hosts.json", `[{"name":"h1","app":"payments","slots":2,"caller":"127.0.0.1:1"}]`)
	writeFile(t, dir, "outcomes.json", `[]`)
	writeFile(t, dir, "load.jsonl", `{"id":"a","app":"payments","asked_ns":1,"ended_ns":9000000,"words":[{"connected":true,"outcome":"done","own":true,"sent_ns":1,"answered_ns":9000001}]}
`)
	writeFile(t, dir, "h1.ran.jsonl", `{"phase":"start","target":"h1","app":"payments","id":"a","attempt":"1","start_ns":2}
{"phase":"end","target":"h1","app":"payments","id":"a","attempt":"1","start_ns":2,"end_ns":8000000}
`)
	writeFile(t, dir, "faults.jsonl", "")
	for _, args := range [][]string{{"planned_stop", "begin", "h1"}, {"planned_stop", "end", "h1"}} {
		code, _ := run(append([]string{"mark", "--file", filepath.Join(dir, "faults.jsonl")}, args...)...)
		must.Eq(t, cli.ExitOK, code)
	}
	code, out := run("judge", "--dir", dir)
	must.Eq(t, cli.ExitOK, code)
	must.StrContains(t, out, "\ntrial: ok requests=1 lost=0 repeated=0 two_owners=0 false_not_run=0 cut_off=0 p99_ms=9.0 imbalance=1.00")
	code, out = run("judge", "--dir", dir, "--problem", "h1 ended by itself")
	must.Eq(t, cli.ExitFailed, code)
	must.StrContains(t, out, "\ntrial: FAILED requests=1 ")
	must.StrHasSuffix(t, "unavailable_ms=0\n", out)
	code, _ = run("report", "--dir", dir)
	must.Eq(t, cli.ExitOK, code)
	must.FileExists(t, filepath.Join(dir, "report.html"))
}

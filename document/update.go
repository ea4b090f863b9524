package document

import (
	"time"

	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/statechart"
)

// UpdateConfig describes a change of an environment's document.
type UpdateConfig struct {
	// Environment is the environment whose document changes.
	Environment string
	// Content is the new document's exact bytes.
	Content []byte
	// Deadlines are the maximum deadlines of the new document's apps.
	Deadlines map[key.App]Duration
	// Token is unique to the change. A change that ended as Unknown is run
	// again with the same token.
	Token string
	// Who and When are written to the stored document.
	Who  string
	When time.Time
	// Trial is the evidence of a promoted document.
	Trial *Evidence
	// Base is the version that the operator planned against; nil means the
	// one in force when the update starts. A change that is run again with
	// its token needs its original base.
	Base *uint64
	// MaxFailures is the number of failed calls to the store after which the update
	// gives up, as soon as its state allows that.
	MaxFailures int
	// InitialBackoff is the delay before the first retry; it doubles up to
	// MaxBackoff.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
}

// Update is one change of an environment's document. It follows the state chart
// document_update. It is not safe for concurrent use.
type Update struct {
	cfg      UpdateConfig
	chart    *statechart.Chart
	state    statechart.State
	base     *Stored
	revision uint64
	mine     Stored
	other    *Stored
	failures int
	pause    time.Duration
}

// NewUpdate returns an update that has not started.
func NewUpdate(cfg UpdateConfig) *Update {
	c := charts.MustLoad("document_update")
	return &Update{
		cfg:   cfg,
		chart: c,
		state: c.Initial,
		pause: cfg.InitialBackoff,
		mine: Stored{
			Hash:             HashOf(cfg.Content),
			Content:          string(cfg.Content),
			Token:            cfg.Token,
			Who:              cfg.Who,
			When:             cfg.When,
			LongestDeadlines: longerDeadlines(nil, cfg.Deadlines),
			Trial:            cfg.Trial,
		},
	}
}

// Start returns the first action.
func (u *Update) Start() UpdateAction {
	return Load{Object: u.documentObject()}
}

// Step takes the answer to the last action and returns the next action, or nil
// if the current state ignores the event.
func (u *Update) Step(ev UpdateEvent) UpdateAction {
	e := u.classify(ev)
	if e == "failed" || e == "doubt" {
		u.failures++
	}
	action := u.transition(e)
	if u.failures >= u.cfg.MaxFailures && u.canGiveUp() {
		return u.transition("given_up")
	}
	return action
}

// canGiveUp reports whether the chart lets the update give up in its current
// state.
func (u *Update) canGiveUp() bool {
	_, ok := u.chart.Next(u.state, "given_up")
	return ok
}

// transition takes the chart's transition for an event and returns its action,
// which is Finish in a final state. It returns nil if the state ignores the
// event.
func (u *Update) transition(e statechart.Event) UpdateAction {
	next, ok := u.chart.Next(u.state, e)
	if !ok {
		return nil
	}
	u.state = next.To
	if u.chart.States[u.state].Final {
		return Finish{Result: UpdateResult{Verdict: Verdict(u.state), Mine: u.mine, Other: u.other}}
	}
	return u.actionFor(next.Actions[0])
}

func (u *Update) actionFor(a statechart.Action) UpdateAction {
	switch a {
	case "load_document":
		return Load{Object: u.documentObject()}
	case "load_history":
		return Load{Object: Object{Kind: HistoryKind, Name: HistoryName(u.cfg.Environment, u.mine.Version)}}
	case "save_history":
		return Save{Object: Object{Kind: HistoryKind, Name: HistoryName(u.cfg.Environment, u.base.Version)}, Value: mustEncode(u.base)}
	case "save_document":
		return Save{Object: u.documentObject(), IfRevision: u.revision, Value: mustEncode(&u.mine)}
	}
	pause := u.pause
	u.pause = min(2*u.pause, u.cfg.MaxBackoff)
	return Pause{For: pause}
}

func (u *Update) documentObject() Object {
	return Object{Kind: Kind, Name: u.cfg.Environment}
}

// mustEncode encodes a stored document. Its fields can always be encoded as
// JSON.
func mustEncode(s *Stored) []byte {
	raw, err := s.Encode()
	if err != nil {
		panic(err)
	}
	return raw
}

// classify returns the event of the chart that an answer stands for.
func (u *Update) classify(ev UpdateEvent) statechart.Event {
	switch ev := ev.(type) {
	case Loaded:
		return u.loaded(ev)
	case LoadFailed:
		return "failed"
	case Saved:
		return "saved"
	case SaveRefused:
		return "refused"
	case SaveUnconfirmed:
		return "doubt"
	}
	return "pause_over"
}

func (u *Update) loaded(ev Loaded) statechart.Event {
	var found *Stored
	if ev.Revision != 0 {
		stored, err := DecodeStored(ev.Value)
		if err != nil {
			return "failed"
		}
		found = stored
	}
	if u.state == "reading" {
		return u.classifyBase(found, ev.Revision)
	}
	return u.classifyReread(found, ev.Revision)
}

// classifyBase compares the document in force with the base of the change.
func (u *Update) classifyBase(found *Stored, revision uint64) statechart.Event {
	u.base = found
	u.revision = revision
	var version uint64
	if found != nil {
		version = found.Version
	}
	if found != nil && found.Token == u.cfg.Token {
		u.mine = *found
		return "mine"
	}
	if u.cfg.Base == nil {
		u.cfg.Base = &version
	}
	u.mine.Version = *u.cfg.Base + 1
	if found != nil {
		u.mine.LongestDeadlines = longerDeadlines(found.LongestDeadlines, u.cfg.Deadlines)
	}
	if version != *u.cfg.Base {
		u.other = found
		return "base_other"
	}
	if found == nil {
		return "base_none"
	}
	if found.Hash == u.mine.Hash {
		u.other = found
		return "base_same"
	}
	return "base_ok"
}

// classifyReread tells whether the document read after a write is that of this
// change, the base or another.
func (u *Update) classifyReread(found *Stored, revision uint64) statechart.Event {
	if found != nil && found.Token == u.cfg.Token {
		return "mine"
	}
	if u.state == "searching" {
		return u.classifyHistory(found)
	}
	if revision == u.revision {
		return "unchanged"
	}
	u.other = found
	return "moved"
}

// classifyHistory handles the history's entry for this change's version. If
// there is none, the change that took that version is still in force.
func (u *Update) classifyHistory(found *Stored) statechart.Event {
	if found != nil {
		u.other = found
	}
	return "moved"
}

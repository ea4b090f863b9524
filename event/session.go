package event

// Events of sessions, witnesses and takeovers.
const (
	SessionCreated   ID = 2001
	WitnessesChanged ID = 2002
	SessionLost      ID = 2003
	TargetGone       ID = 2004
	SessionForgotten ID = 2005
	TargetLife       ID = 2006
	PreviousKept     ID = 2007
	PreviousEnded    ID = 2008
	TakeoverStarted  ID = 2010
	TakeoverStuck    ID = 2011
	TakeoverRecorded ID = 2012
	TakeoverDropped  ID = 2013
)

var sessionEvents = []Def{
	{SessionCreated, "session_created", Info, "session detail", "The store holds the daemon's session record."},
	{WitnessesChanged, "witnesses_changed", Info, "session detail", "The session's witnesses change to those in the detail; none means a lease in the store."},
	{SessionLost, "session_lost", Warn, "session detail", "The daemon's own session was taken over, its name was already in use, or its creation stayed in doubt for too long. The daemon serves nothing and starts again with a new session."},
	{TargetGone, "target_gone", Warn, "after_ms", "The local target stopped announcing itself, or refuses connections. Its slices go to other targets. The field says how long ago it last announced itself."},
	{SessionForgotten, "session_forgotten", Info, "session", "The record of a session that ended long ago was deleted from the store."},
	{TargetLife, "target_life", Info, "app address target instance", "The local target announced itself for the first time since its start."},
	{PreviousKept, "previous_kept", Info, "instance may_hold_ms", "Another instance of the local target has replaced this one, whose process may run on. Slices that it may hold are released to nobody until it has given them up, their time is over, or its process has ended."},
	{PreviousEnded, "previous_ended", Info, "instance cause after_ms", "An instance that another one has replaced holds no slice any more. The cause is process_ended (it has closed its connections), released, expired, or nothing_held."},
	{TakeoverStarted, "takeover_started", Info, "session detail", "This daemon takes over a session: one that has stopped renewing its lease, or an earlier one of its own host."},
	{TakeoverStuck, "takeover_stuck", Warn, "session detail", "A silent session can't be taken over yet. The detail tells what is missing; the takeover goes on by itself."},
	{TakeoverRecorded, "takeover_recorded", Info, "session detail", "The store has the session recorded as lost; its slices may be assigned anew."},
	{TakeoverDropped, "takeover_dropped", Info, "session detail", "The takeover ended without effect: the session renews its lease again, ended in another way, or has other witnesses."},
}

package event

// Events of alarms and of outcomes at risk.
const (
	AlarmRang         ID = 6000
	AlarmNotice       ID = 6001
	AlarmTaken        ID = 6002
	AlarmNotTaken     ID = 6003
	AlarmAcknowledged ID = 6004
	AlarmCollector    ID = 5040
	OutcomeMet        ID = 6010
	OutcomesSaved     ID = 6011
	OutcomesWaiting   ID = 6012
	OutcomeUnkept     ID = 6013
	OutcomesInherited ID = 6014
)

var alarmEvents = []Def{
	{AlarmRang, "alarm_rang", Alarm, "id cause counts subjects", "Something is at risk. Run rhubarb alarms, then follow the runbook of the cause."},
	{AlarmNotice, "alarm_notice", Warn, "id cause subjects", "Nothing has been received about a part of the fleet for its bound. The absence of alarms about that part means nothing."},
	{AlarmTaken, "alarm_taken", Info, "id deliveries", "The receiver took the alarm."},
	{AlarmNotTaken, "alarm_not_taken", Warn, "id deliveries cause", "The receiver did not take the alarm; delivery is tried again."},
	{AlarmAcknowledged, "alarm_acknowledged", Info, "id who why", "A person acknowledged the alarm."},
	{AlarmCollector, "alarm_collector", Info, "collector unstored", "This daemon reports its alarms to another collector than before, which writes their records; unstored of them have no record yet."},
	{OutcomeMet, "outcome_met", Warn, "id app key slice owner epoch code cause why", "A request that may not be repeated has an unknown or late outcome. Settle it: rhubarb outcomes settle."},
	{OutcomesSaved, "outcomes_saved", Info, "batch", "A batch of outcomes at risk was saved in the store."},
	{OutcomesWaiting, "outcomes_waiting", Warn, "batch count", "A batch of outcomes at risk could not be saved. It stays in the memory of two daemons, and the write is tried again, until the store answers."},
	{OutcomeUnkept, "outcome_unkept", Alarm, "id app key slice owner epoch code cause why", "The memory for outcomes at risk is full. This log line is the only record of this outcome."},
	{OutcomesInherited, "outcomes_inherited", Warn, "batch count from", "The daemon that recorded these outcomes at risk was lost; this daemon saves them from its copy."},
}

package event

// Events of the routing of requests.
const (
	RequestSent     ID = 4001
	RequestStarted  ID = 4002
	RequestAnswered ID = 4003
	AnswerDropped   ID = 4004
	SendFailed      ID = 4005
	RequestRefused  ID = 4006
	RequestRejected ID = 4007
	OutcomeSettled  ID = 4011
)

var requestEvents = []Def{
	{RequestSent, "request_sent", Info, "id app slice to epoch attempt", "Routing decision: the request was sent to the daemon of this session."},
	{RequestStarted, "request_started", Info, "id app slice epoch run key", "Gate decision: the request was sent to the local target under this epoch."},
	{RequestAnswered, "request_answered", Info, "id code result owner epoch attempt retry_after_ms", "The caller was answered with this result."},
	{AnswerDropped, "answer_dropped", Info, "id attempt code", "An answer matched no sending on its connection: late, doubled or foreign. It was dropped."},
	{SendFailed, "send_failed", Info, "id to cause", "A request never left this process; it is a true not run."},
	{RequestRefused, "request_refused", Info, "id code result epoch attempt jobs slots service_ms retry_after_ms", "Gate decision: the sending was answered with this result, not with an answer of the target."},
	{RequestRejected, "request_rejected", Info, "id code result cause", "The request never reached the router: it is malformed, no route leads there, or the daemon has no document or no room."},
	{OutcomeSettled, "outcome_settled", Info, "id app outcome", "An outcome at risk became known."},
}

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
	CallerLeft      ID = 4008
	OutcomeSettled  ID = 4011
	TargetCrashed   ID = 4020
	RequestsHeld    ID = 4021
	TargetStatus    ID = 4022
	RegionsUnserved ID = 4030
	RegionsServed   ID = 4031
	CallsFail       ID = 4035
	CallsRecovered  ID = 4036
	RegionBusy      ID = 4045
	RegionRelieved  ID = 4046
	RunsLimited     ID = 4047
	RunsUnlimited   ID = 4048
)

var requestEvents = []Def{
	{RequestSent, "request_sent", Info, "id app slice to epoch attempt", "Routing decision: the request was sent to the daemon with the session in the field to."},
	{RequestStarted, "request_started", Info, "id app slice epoch run key", "Gate decision: the request was sent to the local target under this epoch."},
	{RequestAnswered, "request_answered", Info, "id code result owner epoch attempt retry_after_ms", "The caller was answered with this result."},
	{AnswerDropped, "answer_dropped", Info, "id attempt code", "An answer matched no request sent over its connection: it was late, a duplicate, or came over another connection than its request. It was dropped."},
	{SendFailed, "send_failed", Info, "id to cause", "A request never left this process, so it certainly did not run."},
	{RequestRefused, "request_refused", Info, "id code result epoch attempt jobs slots service_ms retry_after_ms", "Gate decision: the request was answered with this result instead of an answer of the target."},
	{RequestRejected, "request_rejected", Info, "id code result cause", "The request was rejected before routing: it is malformed, no route matches, or the daemon has no document or no capacity."},
	{TargetCrashed, "target_crashed", Warn, "app instance requests", "The process of this host's target ended while it ran requests. The field requests has the fingerprints of their contents. The event comes again if more of them turn out to be lost with it."},
	{RequestsHeld, "requests_held", Warn, "requests instance", "Requests of these contents are not run any more: they were running when several targets ended, the last one in the field instance. They are answered quarantined."},
	{TargetStatus, "target_status", Info, "app instance limit leaving", "The target of this host says something else of itself than before: the requests a second that it takes (0 for no limit), and whether it is about to end. It said so in an answer, or another daemon reported it after a restart of this one."},
	{RegionsUnserved, "regions_unserved", Warn, "route app regions", "No target of the app is known in the allowed regions of the route. Its requests to the app are refused as no_allowed_region and do not run."},
	{RegionsServed, "regions_served", Info, "route app regions", "A target of the app is known again in the allowed regions of the route, or the route allows others."},
	{CallsFail, "calls_fail", Warn, "app share", "Many requests that the target of this host makes while it runs others are refused, late or lost. Runs that make such calls take no more than this share of its slots, and further requests for them are refused at once."},
	{CallsRecovered, "calls_recovered", Info, "app", "The calls of this host's target find room again, and its runs take all slots."},
	{RegionBusy, "region_busy", Info, "app share near far", "The targets of the app in this region are much busier than those of the others (fields near and far: used part of the slots). This share of this daemon's requests that any target may run goes there."},
	{RegionRelieved, "region_relieved", Info, "app", "The targets of the app in this region are about as busy as those of the others again. Its requests stay in the region."},
	{RunsLimited, "runs_limited", Warn, "app runs slots", "The runs of this host's target take longer the more of them there are. The gate starts at most this number at once."},
	{RunsUnlimited, "runs_unlimited", Info, "app", "The target bears as many runs as it has slots again."},
	{CallerLeft, "caller_left", Info, "id after_ms", "The caller closed its connection before it had an answer. What has been sent for it is cancelled."},
	{OutcomeSettled, "outcome_settled", Info, "id app outcome", "An outcome at risk became known."},
}

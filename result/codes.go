package result

// The result codes by range: 0 is success; 1xx are errors in the caller's
// request; 2xx mean that the request did not run (except DuplicateInFlight: an
// earlier submission of its ID is still running); 3xx mean that the outcome is
// at risk; 4xx concern settings and documents; 5xx concern the platform's
// store; 6xx concern messages between daemons and their queues.
const (
	OK Code = 0

	BadRequest   Code = 100
	UnknownApp   Code = 101
	MissingKey   Code = 102
	BadDeadline  Code = 103
	TooLarge     Code = 104
	BadRequestID Code = 105
	UnknownRoute Code = 106

	NoOwner            Code = 200
	NotOwner           Code = 201
	DeadlineTooShort   Code = 202
	QueueFull          Code = 203
	Draining           Code = 204
	TargetUnavailable  Code = 205
	PeerUnreachable    Code = 206
	LeaseLapsed        Code = 207
	TargetShed         Code = 208
	FenceRefused       Code = 209
	RetryBudgetSpent   Code = 210
	Cancelled          Code = 211
	NotConfigured      Code = 212
	DuplicateInFlight  Code = 213
	LinkShareExhausted Code = 214
	Quarantined        Code = 215
	BodiesFull         Code = 216
	NoAllowedRegion    Code = 217

	OutcomeUnknown   Code = 300
	AnswerLate       Code = 301
	AnswerLost       Code = 302
	PeerLost         Code = 303
	IDTooOld         Code = 304
	LeaseLapsedAfter Code = 305
	AnswerTruncated  Code = 306
	AlreadyRan       Code = 307
	RepeatRefused    Code = 308
	IDReused         Code = 309

	BadSettings      Code = 400
	AddressInUse     Code = 401
	BadDocument      Code = 402
	DocumentConflict Code = 403
	NotTried         Code = 404
	HashMismatch     Code = 405
	NotAllowed       Code = 406

	StoreUnavailable Code = 500
	StoreConflict    Code = 501
	StoreNotFound    Code = 502
	StoreDoubt       Code = 503
	StoreTooLarge    Code = 504

	BadFrame     Code = 600
	StaleMessage Code = 601
	RingFull     Code = 602
)

// infos lists all codes in ascending order.
var infos = []Info{
	{OK, "ok", Done, 200, "Use the answer."},
	{BadRequest, "bad_request", NotRun, 400, "Correct the request; the detail names what is wrong."},
	{UnknownApp, "unknown_app", NotRun, 404, "Name an app of the document in force."},
	{MissingKey, "missing_key", NotRun, 400, "Send the key header: the app is divided by key."},
	{BadDeadline, "bad_deadline", NotRun, 400, "Send a deadline in milliseconds within the app's maximum."},
	{TooLarge, "too_large", NotRun, 413, "Send a smaller body; the limit is in the detail."},
	{BadRequestID, "bad_request_id", NotRun, 400, "Send an id of 1 to 64 printable characters."},
	{UnknownRoute, "unknown_route", NotRun, 404, "Name a host and a path of the document's routes."},
	{NoOwner, "no_owner", NotRun, 503, "Ask again after the time in Retry-After."},
	{NotOwner, "not_owner", NotRun, 503, "Ask again: ownership has moved to the epoch given."},
	{DeadlineTooShort, "deadline_too_short", NotRun, 503, "Ask again later or with a longer deadline."},
	{QueueFull, "queue_full", NotRun, 503, "Ask again after the time in Retry-After."},
	{Draining, "draining", NotRun, 503, "Ask again at once: another host takes the work."},
	{TargetUnavailable, "target_unavailable", NotRun, 503, "Ask again after the time in Retry-After."},
	{PeerUnreachable, "peer_unreachable", NotRun, 503, "Ask again after the time in Retry-After."},
	{LeaseLapsed, "lease_lapsed", NotRun, 503, "Ask again after the time in Retry-After."},
	{TargetShed, "target_shed", NotRun, 503, "Ask again after the time in Retry-After."},
	{FenceRefused, "fence_refused", NotRun, 503, "Ask again: the target holds a newer grant."},
	{RetryBudgetSpent, "retry_budget_spent", NotRun, 503, "Ask again after the time in Retry-After."},
	{Cancelled, "cancelled", NotRun, 499, "Nothing: the caller gave the request up before it ran."},
	{NotConfigured, "not_configured", NotRun, 503, "Wait until the daemon has a document."},
	{DuplicateInFlight, "duplicate_in_flight", Unknown, 409, "Wait for the first attempt with this id; this repeat was not run."},
	{LinkShareExhausted, "link_share_exhausted", NotRun, 503, "Ask again later: the link between regions has no share left."},
	{Quarantined, "quarantined", NotRun, 503, "Don't send it again before the time in Retry-After: targets that ran a request of this content ended."},
	{BodiesFull, "bodies_full", NotRun, 503, "Ask again after the time in Retry-After: the memory for request bodies is in use."},
	{NoAllowedRegion, "no_allowed_region", NotRun, 503, "Ask again after the time in Retry-After: no target is available in the regions where the request may run."},
	{OutcomeUnknown, "outcome_unknown", Unknown, 504, "Repeat it with the same id and a higher Rhubarb-Attempt to learn the outcome; under a new id it may run twice."},
	{AnswerLate, "answer_late", Late, 504, "The request ran, and its answer came after the deadline; repeat it with the same id to get the answer."},
	{AnswerLost, "answer_lost", Unknown, 504, "Repeat it with the same id and a higher Rhubarb-Attempt to learn the outcome; under a new id it may run twice."},
	{PeerLost, "peer_lost", Unknown, 504, "Repeat it with the same id and a higher Rhubarb-Attempt to learn the outcome; under a new id it may run twice."},
	{IDTooOld, "id_too_old", Unknown, 409, "The gate cannot know whether this id ran; look the outcome up."},
	{LeaseLapsedAfter, "lease_lapsed_after", Unknown, 504, "Repeat it with the same id and a higher Rhubarb-Attempt to learn the outcome; under a new id it may run twice."},
	{AnswerTruncated, "answer_truncated", Unknown, 502, "The answer broke off or exceeded the limit; do not repeat unless idempotent."},
	{AlreadyRan, "already_ran", Unknown, 409, "An attempt with this id ran or may have run; its answer is no longer kept."},
	{RepeatRefused, "repeat_refused", Unknown, 503, "This sending did not run, an earlier one with this id may have; repeat it with the same id after Retry-After."},
	{IDReused, "id_reused", Unknown, 409, "The id belongs to a request with another content; look its outcome up before making a new id."},
	{BadSettings, "bad_settings", None, 0, "Correct the named setting and start again."},
	{AddressInUse, "address_in_use", None, 0, "Free the address or name another."},
	{BadDocument, "bad_document", None, 0, "Correct the named field."},
	{DocumentConflict, "document_conflict", None, 409, "Read the version in force, plan again, apply again."},
	{NotTried, "not_tried", None, 0, "Apply the document in trial first."},
	{HashMismatch, "hash_mismatch", None, 0, "Promote the same bytes that were tried."},
	{NotAllowed, "not_allowed", None, 403, "Use an operator's credential."},
	{StoreUnavailable, "store_unavailable", None, 503, "Wait: living owners go on serving without the store."},
	{StoreConflict, "store_conflict", None, 409, "Read the object again and decide anew."},
	{StoreNotFound, "store_not_found", None, 404, "Check the kind and the name."},
	{StoreDoubt, "store_doubt", None, 0, "The write may have landed; compare its writer token."},
	{StoreTooLarge, "store_too_large", None, 413, "Keep the object below the store's limit."},
	{BadFrame, "bad_frame", None, 0, "The peer sent bytes that do not decode; check versions."},
	{StaleMessage, "stale_message", None, 0, "Nothing: an older message was dropped and counted."},
	{RingFull, "ring_full", NotRun, 503, "Ask again after the time in Retry-After."},
}

var byCode = indexByCode()

func indexByCode() map[Code]Info {
	m := make(map[Code]Info, len(infos))
	for _, info := range infos {
		m[info.Code] = info
	}
	return m
}

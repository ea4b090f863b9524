package event

// Events of placement and handover.
const (
	LeadershipWon     ID = 3001
	LeadershipLost    ID = 3002
	LeaderStuck       ID = 3003
	LeaderOutOfReach  ID = 3004
	SliceAssigned     ID = 3010
	HandoverNamed     ID = 3011
	HandoverDropped   ID = 3012
	KeyCarvedOut      ID = 3013
	KeyMerged         ID = 3014
	PackApplied       ID = 3020
	PackRefused       ID = 3021
	PackDoubtful      ID = 3022
	SliceAdmitted     ID = 3030
	SliceDraining     ID = 3031
	SliceReleased     ID = 3032
	DrainOverdue      ID = 3033
	SliceOverruled    ID = 3034
	PlannedStopBegan  ID = 3040
	PlannedStopDone   ID = 3041
	PlannedStopCut    ID = 3042
	GrantAnswered     ID = 3050
	GrantRenewed      ID = 3051
	GrantRefused      ID = 3052
	HeartbeatAnswered ID = 3056
	GrantsDeferred    ID = 3057
	EpochSpent        ID = 3058
	HoldingUnexpected ID = 3059
	SlicesClaimed     ID = 3060
	TargetCold        ID = 3070
	EvacuationBegan   ID = 3071
	EvacuationEnded   ID = 3072
	EvacuationUnknown ID = 3073
	ReleaseAnswered   ID = 3053
)

var placementEvents = []Def{
	{LeadershipWon, "leadership_won", Info, "term", "This daemon is now the leader and plans the placement."},
	{LeadershipLost, "leadership_lost", Info, "term", "This daemon is no longer the leader: another daemon is, or this one stops."},
	{LeaderStuck, "leader_stuck", Warn, "term failing_ms told", "This daemon is the leader, and the store does not accept its writes. Other daemons are told, and one that reaches the store may claim the lead."},
	{LeaderOutOfReach, "leader_out_of_reach", Warn, "leader term for_ms", "No connection to the leader can be opened, although its session is not recorded as lost. This daemon may claim the lead."},
	{SliceAssigned, "slice_assigned", Info, "slice reason from to epoch", "A write assigns the slice to an owner."},
	{HandoverNamed, "handover_named", Info, "slice reason from next epoch", "A write names the next owner of the slice; the present owner is to release it."},
	{HandoverDropped, "handover_dropped", Info, "slice reason owner epoch", "A write cancels a handover; the owner keeps the slice."},
	{KeyCarvedOut, "key_carved_out", Info, "slice owner epoch", "A hot key becomes a slice of its own."},
	{KeyMerged, "key_merged", Info, "slice owner epoch", "A key that is no longer hot becomes part of its slice again."},
	{PackApplied, "pack_applied", Debug, "name version moves", "A write of a pack is known to have been applied in the store."},
	{PackRefused, "pack_refused", Info, "name", "Another write of the pack came first. The pack is read and planned again."},
	{PackDoubtful, "pack_doubtful", Warn, "name token", "The answer to a write was lost. The pack is read to find out whether the write was applied."},
	{SliceAdmitted, "slice_admitted", Info, "slice epoch", "This daemon owns the slice and admits requests for it."},
	{SliceDraining, "slice_draining", Info, "slice epoch next", "This daemon admits no more requests for the slice."},
	{SliceReleased, "slice_released", Info, "slice epoch", "No request for the slice is in flight here any more; the leader is told."},
	{DrainOverdue, "drain_overdue", Warn, "slice epoch in_flight", "A drain has lasted for the time after which it is reported. Requests in flight run on to their deadlines."},
	{SliceOverruled, "slice_overruled", Warn, "slice epoch newest", "A pack names another owner of a slice that was not released here, because this session was recorded as lost."},
	{PlannedStopBegan, "planned_stop_began", Info, "owned", "This daemon began a planned stop and hands its slices over."},
	{PlannedStopCut, "planned_stop_cut", Warn, "owned after_ms", "The time for a planned stop is over, and it is not certain that every slice is released. The session is not recorded as left; it is taken over when its lease has ended."},
	{PlannedStopDone, "planned_stop_done", Info, "released", "Every slice is released; the session is recorded as left."},
	{GrantAnswered, "grant_answered", Info, "app instance first last epoch hold_ms token answer", "The target was asked to hold slices for a time. The answer field tells what it answered, if anything."},
	{GrantRenewed, "grant_renewed", Debug, "app instance first last epoch hold_ms token answer", "The target holds slices for a further period."},
	{GrantRefused, "grant_refused", Warn, "slice epoch", "The target knows a higher epoch of the slice. This daemon gives the slice up, and it is assigned anew."},
	{EpochSpent, "epoch_spent", Warn, "slice epoch instance", "The slice was not granted to this instance of the target, since an earlier instance had it at this epoch or a higher one. It is released and assigned anew. This is a fault of the daemon: report it."},
	{SlicesClaimed, "slices_claimed", Info, "app slices era", "This daemon holds slices whose stored entries were restored with the store, and claims them from the leader. It is repeated until the leader has answered; after 4 s without an answer the slices are given up."},
	{HoldingUnexpected, "holding_unexpected", Warn, "slice epoch instance", "The target holds the slice at an epoch at which this daemon has not granted it to this instance, or no longer. Another server may hold it too. This is a fault of the daemon or of the target: report it."},
	{HeartbeatAnswered, "heartbeat_answered", Debug, "instance held freed rows hold_ms deferred", "The target said with a heartbeat which ranges it holds and has freed. The answer grants rows of slices for a time, none if hold_ms is 0; deferred slices did not fit into it."},
	{GrantsDeferred, "grants_deferred", Warn, "rows deferred", "Slices of this daemon did not fit into the answer to its target's heartbeat, whose size is bounded. They are not served until others are released or join into longer ranges."},
	{TargetCold, "target_cold", Info, "app instance cold usable_slots", "The target began to count as cold, or ceased to: while it does, this daemon starts no more requests a second than the document allows, and the leader counts its host with usable_slots. The field is negative if there is no limit."},
	{EvacuationBegan, "evacuation_began", Warn, "zone within_ms", "This daemon learned that the zone is evacuated: targets there get no more work after within_ms from the operator's write, and their slices go to other zones."},
	{EvacuationEnded, "evacuation_ended", Info, "zone", "This daemon learned that the evacuation of the zone is over. Its targets count as cold until they announce otherwise."},
	{EvacuationUnknown, "evacuation_unknown", Warn, "zone version", "An evacuation names no zone of the document in force, whose version is given. It has no effect."},
	{ReleaseAnswered, "release_answered", Info, "app instance first last epoch answer", "The target was asked to give slices up. The answer field tells what it answered, if anything."},
}

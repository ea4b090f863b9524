package event

// Events of placement and handover.
const (
	LeadershipWon    ID = 3001
	LeadershipLost   ID = 3002
	LeaderStuck      ID = 3003
	LeaderOutOfReach ID = 3004
	SliceAssigned    ID = 3010
	HandoverNamed    ID = 3011
	HandoverDropped  ID = 3012
	KeyCarvedOut     ID = 3013
	KeyMerged        ID = 3014
	PackApplied      ID = 3020
	PackRefused      ID = 3021
	PackDoubtful     ID = 3022
	SliceAdmitted    ID = 3030
	SliceDraining    ID = 3031
	SliceReleased    ID = 3032
	DrainOverdue     ID = 3033
	SliceOverruled   ID = 3034
	PlannedStopBegan ID = 3040
	PlannedStopDone  ID = 3041
	PlannedStopCut   ID = 3042
	GrantAnswered    ID = 3050
	GrantRenewed     ID = 3051
	GrantRefused     ID = 3052
	ReleaseAnswered  ID = 3053
)

var placementEvents = []Def{
	{LeadershipWon, "leadership_won", Info, "term", "This daemon plans the placement from now on."},
	{LeadershipLost, "leadership_lost", Info, "term", "Another daemon plans the placement, or this one stops."},
	{LeaderStuck, "leader_stuck", Warn, "term failing_ms told", "This daemon leads, and the store does not take its writes: others are told, and one that reaches the store may claim the lead."},
	{LeaderOutOfReach, "leader_out_of_reach", Warn, "leader term for_ms", "No connection to the leader can be opened, although it is not recorded lost: this daemon may claim the lead."},
	{SliceAssigned, "slice_assigned", Info, "slice reason from to epoch", "A write gives a slice to an owner."},
	{HandoverNamed, "handover_named", Info, "slice reason from next epoch", "A write names the next owner of a slice that its owner is to release."},
	{HandoverDropped, "handover_dropped", Info, "slice reason owner epoch", "A write withdraws a handover; the owner keeps the slice."},
	{KeyCarvedOut, "key_carved_out", Info, "slice owner epoch", "A hot key becomes a slice of its own."},
	{KeyMerged, "key_merged", Info, "slice owner epoch", "A key that cooled down is part of its slice again."},
	{PackApplied, "pack_applied", Debug, "name version moves", "A write of a pack is known to have landed."},
	{PackRefused, "pack_refused", Info, "name", "Another write of the pack came first; it is read and planned anew."},
	{PackDoubtful, "pack_doubtful", Warn, "name token", "The answer to a write was lost; the pack is read to find out."},
	{SliceAdmitted, "slice_admitted", Info, "slice epoch", "This daemon owns the slice and admits requests for it."},
	{SliceDraining, "slice_draining", Info, "slice epoch next", "This daemon admits no more requests for the slice."},
	{SliceReleased, "slice_released", Info, "slice epoch", "Nothing of the slice is in flight here any more; the leader is told."},
	{DrainOverdue, "drain_overdue", Warn, "slice epoch in_flight", "A drain takes long; requests in flight are left to their deadlines."},
	{SliceOverruled, "slice_overruled", Warn, "slice epoch newest", "A pack names another owner of a slice not released here: this session was recorded lost."},
	{PlannedStopBegan, "planned_stop_began", Info, "owned", "This daemon stops and hands its slices over."},
	{PlannedStopCut, "planned_stop_cut", Warn, "owned after_ms", "The time for a planned stop is over and slices are not surely released. The session is not recorded as left; it is taken over when its lease has ended."},
	{PlannedStopDone, "planned_stop_done", Info, "released", "Every slice is released; the session is recorded as left."},
	{GrantAnswered, "grant_answered", Info, "app first last epoch hold_ms token answer", "The target was asked to hold slices for a time, and answered or not."},
	{GrantRenewed, "grant_renewed", Debug, "app first last epoch hold_ms token answer", "The target holds slices for a further time."},
	{GrantRefused, "grant_refused", Warn, "slice epoch", "The target knows a higher epoch of the slice; it is given up and assigned anew."},
	{ReleaseAnswered, "release_answered", Info, "app first last epoch answer", "The target was asked to give slices up, and answered or not."},
}

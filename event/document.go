package event

// Events of documents and of the replication of objects from the store.
const (
	DocumentInForce   ID = 5000
	DocumentRefused   ID = 5001
	DocumentElsewhere ID = 5002
	RelayStarted      ID = 5010
	RelayEnded        ID = 5011
	CaughtUp          ID = 5020
	ZoneInForce       ID = 5030
)

var documentEvents = []Def{
	{DocumentInForce, "document_in_force", Info, "environment version hash who waited_ms took_ms", "A document came into force on this daemon: how long after another daemon had first told of changes (0 if none did), and how long it took to decode it."},
	{DocumentRefused, "document_refused", Warn, "environment version hash cause", "A stored document does not pass the checks; the one in force stays in force, and requests without a route in it are answered not_configured. Apply documents by the command line."},
	{DocumentElsewhere, "document_elsewhere", Warn, "environment version names", "A stored document names another environment and trial; the one in force stays in force."},
	{RelayStarted, "relay_started", Info, "zone", "This daemon watches the store for its availability zone."},
	{RelayEnded, "relay_ended", Info, "zone", "This daemon no longer watches the store."},
	{CaughtUp, "caught_up", Info, "after_ms source", "The daemon has caught up with the store or its peers and puts objects in force."},
	{ZoneInForce, "zone_in_force", Info, "zone version hosts", "Every live daemon of the availability zone has the document in force."},
}

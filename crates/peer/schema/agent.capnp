@0xc1f7a2d95b3e6408;

# Messages that agents exchange.

struct Version {
  # Version of a document: a revision or era, the platform's index, and the first 8 bytes of the
  # digest. All 0 when the document is not held. An era is the revision that proved the last rebuild
  # of the platform, or 0.
  rank @0 :UInt64;
  index @1 :UInt64;
  mark @2 :UInt64;
}

struct Rumour {
  # Observation of a VM: its latest heartbeat, or a report that the VM has not responded to
  # `observer` since this heartbeat.
  vm @0 :Text;
  incarnation @1 :UInt64;
  beat @2 :UInt64;
  observer @3 :Text;
}

struct Summary {
  vm @0 :Text;
  incarnation @1 :UInt64;
  # Seconds since the agent started.
  beat @2 :UInt64;
  # Last incarnation of the receiver that the sender knows.
  known @3 :UInt64;
  # Revision and digest prefix of the configuration; era and index of its pointer.
  revision @4 :UInt64;
  mark @5 :UInt64;
  era @6 :UInt64;
  index @7 :UInt64;
  vms @8 :Version;
  targets @9 :Version;
  rumours @10 :List(Rumour);
  # Whether the receiver may send the documents that the sender lacks.
  wants @11 :Bool;
  # Whether the sender still has the preset of the receiver's configuration.
  keeps @12 :Bool;
}

struct Step {
  # Copies `count` bytes of the base from offset `start`, then appends `text`.
  start @0 :UInt32;
  count @1 :UInt32;
  text @2 :Text;
}

struct Patch {
  # Steps that build a text from the base whose digest prefix is `base`; 0 means no base.
  base @0 :UInt64;
  steps @1 :List(Step);
}

struct Update {
  # Documents that the receiver lacks; the patch of any other document is absent.
  pointer @0 :Text;
  era @1 :UInt64;
  index @2 :UInt64;
  preset @3 :Patch;
  vms @4 :Patch;
  vmsVersion @5 :Version;
  targets @6 :Patch;
  targetsVersion @7 :Version;
}

interface Agent {
  # Compares the versions of two agents; the response contains the documents that the caller
  # lacks.
  exchange @0 (summary :Summary) -> (summary :Summary, update :Update);
  # Sends the documents that the receiver lacks according to its last response.
  deliver @1 (vm :Text, update :Update) -> ();
}

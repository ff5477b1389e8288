@0xc1f7a2d95b3e6408;

# What agents exchange with one another.

struct Version {
  # Version of a document: a revision or era, the platform's index, and the first 8 bytes of the
  # digest. All 0 when the document is not held.
  rank @0 :UInt64;
  index @1 :UInt64;
  mark @2 :UInt64;
}

struct Rumour {
  # News of a VM: heard at this beat, or silent towards `observer` since this beat.
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
  # Incarnation of the receiver that the sender knows.
  known @3 :UInt64;
  # Revision and mark of the configuration, era and index of its pointer.
  revision @4 :UInt64;
  mark @5 :UInt64;
  era @6 :UInt64;
  index @7 :UInt64;
  vms @8 :Version;
  targets @9 :Version;
  rumours @10 :List(Rumour);
  # Whether the sender may be sent what it lacks now.
  wants @11 :Bool;
  # Whether the sender keeps the preset of the receiver's configuration from earlier.
  keeps @12 :Bool;
}

struct Step {
  # Copies `count` bytes of the base from `start` on, then adds `text`.
  start @0 :UInt32;
  count @1 :UInt32;
  text @2 :Text;
}

struct Patch {
  # Steps that make a text from the base with mark `base`; 0 means no base.
  base @0 :UInt64;
  steps @1 :List(Step);
}

struct Update {
  # What the receiver lacks; a document without steps is not sent.
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
  # Compares what two agents hold; the answer brings what the caller lacks.
  exchange @0 (summary :Summary) -> (summary :Summary, update :Update);
  # Brings what the receiver lacked in its last answer.
  deliver @1 (vm :Text, update :Update) -> ();
}

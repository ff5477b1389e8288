@0xc6a1f0b25d7e3948;

# Messages between proxies: slots of targets, and claims of idempotency keys.

enum WorkClass {
  short @0;
  long @1;
}

enum Report {
  left @0;
  served @1;
  shed @2;
  failed @3;
  unreachable @4;
}

struct Ask {
  service @0 :Text;
  zone @1 :Text;
  class @2 :WorkClass;
  waitedMs @3 :UInt32;
  mayWait @4 :Bool;
  owners @5 :UInt32;
  avoid @6 :List(Text);
  # Part of the service's work that is short, in thousandths; 0 when unknown.
  shortPart @7 :UInt16;
  isFar @8 :Bool;
  # Expected service time in milliseconds; 0 when unknown.
  timeMs @9 :UInt32;
}

interface Slot {
  # A slot in use; dropping the object frees the slot.
  finish @0 (report :Report);
}

interface Claim {
  # Permission to run one attempt; dropping the object counts the attempt as run.
  settleNotRun @0 ();
}

struct Answer {
  union {
    slot @0 :Slot;
    # Expected wait in milliseconds.
    refusal @1 :UInt32;
  }
  target @2 :Text;
  # Whether the free slot belongs to a target that has failed recently.
  isDoubtful @3 :Bool;
}

interface Desk {
  acquire @0 (ask :Ask) -> (answer :Answer);
  # `claim` is null when an earlier attempt may have run.
  claim @1 (key :UInt64, attempt :UInt32) -> (claim :Claim);
}

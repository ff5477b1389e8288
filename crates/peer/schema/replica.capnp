@0xb7d2f5a9013c64e8;

# What VMs tell each other of the published documents.

struct Change {
  # A document as it was written at a revision of the store, or its removal.
  key @0 :Text;
  revision @1 :UInt64;
  value @2 :Data;
  isRemoved @3 :Bool;
}

struct Changes {
  # All changes after one revision up to another; a whole copy has every document.
  isWhole @0 :Bool;
  after @1 :UInt64;
  upto @2 :UInt64;
  list @3 :List(Change);
}

struct Copy {
  # How much the sender holds: nothing yet, or every change up to a revision.
  isEmpty @0 :Bool;
  upto @1 :UInt64;
}

struct Peer {
  # A VM that holds a copy, as IP:PORT, and its availability zone.
  address @0 :Text;
  zone @1 :Text;
}

struct News {
  # What the asker lacks, when the sender holds a copy.
  changes @0 :Changes;
  # For how long the copy has not been known to be current, in milliseconds.
  ageMs @1 :UInt64;
  # VMs heard of lately.
  peers @2 :List(Peer);
}

interface Replica {
  # Compares copies; `asker` is where the asker serves this interface. Without news the answer
  # waits for some, at most for `waitMs` milliseconds. An asker that is not eager gets no large copy:
  # it expects one from elsewhere.
  sync @0 (asker :Peer, copy :Copy, waitMs :UInt64, isEager :Bool) -> (news :News);
}

@0xb7d2f5a9013c64e8;

# Messages that VMs exchange about the published documents.

struct Change {
  # A document as written at a revision of the store, or its removal.
  key @0 :Text;
  revision @1 :UInt64;
  value @2 :Data;
  isRemoved @3 :Bool;
}

struct Changes {
  # All changes after one revision up to another; a full copy contains every document.
  isWhole @0 :Bool;
  after @1 :UInt64;
  upto @2 :UInt64;
  list @3 :List(Change);
  # Era of the store that the revisions belong to; programs without eras set no era.
  hasEra @4 :Bool;
  era @5 :UInt64;
  # Documents known from earlier eras that are newer than the store's. Each replaces the document of
  # its key up to its revision; a removal marks that document as not renewed by its writer.
  kept @6 :List(Change);
  # Span of revisions, without its ends, in which documents may have been written and removed again
  # that the list does not contain.
  hasGap @7 :Bool;
  gapAfter @8 :UInt64;
  gapBefore @9 :UInt64;
  # The list as a compressed message; `list` is then empty.
  packed @10 :Data;
}

struct Copy {
  # What the sender holds: nothing yet, or every change up to a revision.
  isEmpty @0 :Bool;
  upto @1 :UInt64;
  # Era that the revision belongs to; programs without eras set no era.
  hasEra @2 :Bool;
  era @3 :UInt64;
  # Digest of the documents kept from earlier eras; 0 if there are none.
  keptDigest @4 :UInt64;
  # Whether the sender takes over gaps; other programs receive a full copy instead.
  knowsGaps @5 :Bool;
}

struct Peer {
  # A VM that holds a copy, as IP:PORT, and its availability zone.
  address @0 :Text;
  zone @1 :Text;
}

struct EarlierStart {
  # An earlier start of a target that has started again: the token of its flows, the target's id, the
  # service and the address, as IP:PORT, of the earlier start, and the time since its end in
  # milliseconds.
  token @0 :UInt32;
  target @1 :Text;
  service @2 :Text;
  address @3 :Text;
  elapsedMs @4 :UInt64;
}

struct News {
  # Changes that the requester lacks; absent when the responder holds no copy.
  changes @0 :Changes;
  # Time since the responder's copy was last known to be current, in milliseconds.
  ageMs @1 :UInt64;
  # VMs known from recent messages.
  peers @2 :List(Peer);
  # Whether the responder sends the requester on to `peers`.
  isReferral @3 :Bool;
  # Earlier starts of targets that ended lately; absent from responses that waited for a change,
  # unless the requester is starting.
  earlierStarts @4 :List(EarlierStart);
  # Whether the responder reads numbered tokens.
  readsNumbered @5 :Bool;
  # Whether the responder has heard of a VM that does not, and the time since such a VM was last heard
  # of, in milliseconds.
  hasOlder @6 :Bool;
  olderAgeMs @7 :UInt64;
}

interface Replica {
  # Compares copies; `asker` is the address on which the requester serves this interface. When the
  # requester lacks nothing, the response waits for a change, at most `waitMs` milliseconds. A
  # requester that is not eager receives no large copy, since it expects one from another source.
  # Only a requester that accepts packed lists receives them. A requester that is starting asks where
  # to get its first copy. A requester that does not read numbered tokens is sent those of all
  # targets as earlier starts. `knowsOlder` tells whether the requester has heard of such a VM lately.
  sync @0 (asker :Peer, copy :Copy, waitMs :UInt64, isEager :Bool, acceptsPacked :Bool,
      isStarting :Bool, readsNumbered :Bool, knowsOlder :Bool) -> (news :News);
}

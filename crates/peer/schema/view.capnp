@0xd3b0c7a5e1f24a91;

# Messages between an agent and the programs of the same VM.

struct ViewSource {
  number @0 :UInt64;
  pointer @1 :Text;
  preset @2 :Text;
  vms @3 :Text;
  targets @4 :Text;
  suspects @5 :List(Text);
}

interface ViewFeed {
  # Waits until the agent has a view whose number differs from `after`, then returns the view.
  # `after` also acknowledges the view that `program` has in force.
  watch @0 (program :Text, after :UInt64) -> (source :ViewSource);
}

@0xd3b0c7a5e1f24a91;

# What an agent serves to the programs beside it.

struct ViewSource {
  number @0 :UInt64;
  pointer @1 :Text;
  preset @2 :Text;
  vms @3 :Text;
  targets @4 :Text;
  suspects @5 :List(Text);
}

interface ViewFeed {
  # Waits until the agent has a view numbered above `after`, then returns it. `after` also tells
  # the agent which view `program` has in force.
  watch @0 (program :Text, after :UInt64) -> (source :ViewSource);
}

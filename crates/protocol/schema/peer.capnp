@0xb1f2c7a09d3e4c55;

# Calls between redwinglb entry processes. Fields are only ever added; a change
# that an older process would misread raises `protocolVersion`.

const protocolVersion :UInt32 = 1;

struct Incarnation {
  node @0 :Text;
  epoch @1 :UInt64;
}

struct TeamDemand {
  class @0 :Text;
  team @1 :Text;            # Empty for callers without a key.
  waiting @2 :UInt32;
  serviceMicros @3 :UInt64;
}

struct IdleSlots {
  class @0 :Text;
  slots @1 :UInt32;
}

struct PermitWant {
  team @0 :Text;
  permits @1 :UInt32;
}

struct TokenPool {
  union {
    permit @0 :Text;        # Name of a team.
    slot @1 :Text;          # Name of a VM.
  }
}

struct TokenGroup {
  pool @0 :TokenPool;
  numbers @1 :List(UInt32);
}

struct TokenTransfer {
  id @0 :UInt64;
  groups @1 :List(TokenGroup);
}

struct PeerMessage {
  sequence @0 :UInt64;
  demand @1 :List(TeamDemand);
  idle @2 :List(IdleSlots);
  wants @3 :List(PermitWant);
  transfers @4 :List(TokenTransfer);
  received @5 :List(UInt64);
  recalls @6 :List(TokenPool);
}

struct ConfigRow {
  key @0 :Text;
  version @1 :UInt64;
  present @2 :Bool;
  value @3 :Text;
}

interface Peer {
  # Opens a conversation; a process of another protocol version is refused.
  greet @0 (from :Incarnation, protocol :UInt32) -> (own :Incarnation, protocol :UInt32);

  # Passes a scheduler message on. A message for an earlier epoch is refused.
  exchange @1 (from :Incarnation, to :Incarnation, message :PeerMessage) -> ();

  # Spreads rows of the configuration that the table has accepted.
  announce @2 (from :Incarnation, rows :List(ConfigRow)) -> (version :UInt64);

  # Returns the rows of the configuration that the process knows.
  fetch @3 (from :Incarnation) -> (version :UInt64, rows :List(ConfigRow));

  # Tells that the caller is alive and which configuration it has in force.
  heartbeat @4 (from :Incarnation, version :UInt64) -> (version :UInt64);
}

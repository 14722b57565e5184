@0xb1f2c7a09d3e4c55;

# RPC interface between redwinglb entry processes. Fields are only ever added; a
# change that an older process would misinterpret increments `protocolVersion`.

const protocolVersion :UInt32 = 1;

struct Incarnation {
  node @0 :Text;
  epoch @1 :UInt64;
}

struct TeamDemand {
  class @0 :Text;
  team @1 :Text;            # Customer; empty for callers without a key.
  waiting @2 :UInt32;
  serviceMicros @3 :UInt64;
}

struct IdleSlots {
  class @0 :Text;
  slots @1 :UInt32;
}

struct PermitWant {
  team @0 :Text;            # Name of a customer.
  permits @1 :UInt32;
}

struct TokenPool {
  union {
    permit @0 :Text;        # Name of a customer.
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
  # First call on a connection; only `fetch` may come before it. A process with
  # another protocol version is refused.
  greet @0 (from :Incarnation, protocol :UInt32) -> (own :Incarnation, protocol :UInt32);

  # Delivers a scheduler message. A message for another incarnation of the
  # receiver, such as an earlier epoch, is refused.
  exchange @1 (from :Incarnation, to :Incarnation, message :PeerMessage) -> ();

  # Propagates configuration rows that the table has accepted. Returns the
  # version of the configuration that the receiver then has in force.
  announce @2 (from :Incarnation, rows :List(ConfigRow)) -> (version :UInt64);

  # Returns the version and the rows of the configuration in force. Needs no
  # greeting: a process that starts while the table is down has no incarnation.
  fetch @3 (from :Incarnation) -> (version :UInt64, rows :List(ConfigRow));

  # Reports that the caller is alive and, in `version`, which configuration it
  # has in force. Returns the version that the receiver has in force.
  heartbeat @4 (from :Incarnation, version :UInt64) -> (version :UInt64);
}

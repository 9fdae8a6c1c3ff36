// Gossip between nodes: one Datagram in each UDP packet, in thrift's compact protocol.
// The number of a removed field is never reused.

struct Member {
  1: string id
  2: string zone
  3: string region
  4: string peer_address
  5: string gossip_address
  6: byte state            // index in gossip.STATES
  7: i64 incarnation
  8: i64 heartbeat
  9: i64 offset            // log offset of the configuration in force
}

// Heartbeats, one list for each field: a list of structs would take twice the bytes.
struct Beats {
  1: list<i64> members     // members.member_key
  2: list<i64> heartbeats
  3: binary states         // one byte each: index in gossip.STATES
  4: list<i64> offsets     // log offsets of the configurations in force
}

struct Fact {
  1: byte kind             // facts.FactKind
  2: string subject
  3: string origin
  4: i32 value
  5: i32 milliseconds_left
}

struct Datagram {
  1: Member sender
  2: i64 highest_offset    // highest configuration offset known to the sender
  3: Beats beats
  4: list<Member> members
  5: list<Fact> facts
  6: list<i64> wanted      // keys of members whose entries the sender lacks
}

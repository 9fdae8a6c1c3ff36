// Calls between nodes. Addresses and records are text; answers carry no bare maps.

exception PeerError {
  1: string kind
  2: string message
}

// A part of an answer, for a node that passes it on to the caller.
struct AnswerPage {
  // False if this node knows nothing of the request.
  1: bool known
  // Peer address of the node that holds it now; empty if this one does.
  2: string moved_to
  // The request's head, only with the first page.
  3: binary head
  4: list<string> tokens
  5: string finish_reason
  6: string error_kind
  7: string error_message
  // A plain service's answer, whole.
  8: i32 status
  9: string content_type
  10: binary body
}

// How the log decided a claim.
struct ClaimAnswer {
  1: string verdict
  // The record of the claim that was in its way; empty if there is none.
  2: string holder
}

service Peer {
  string ping()
  // The snapshot record of the configuration this node has in force.
  string pull_configuration() throws (1: PeerError error)
  // The notes of a request that this node accepted, as JSON.
  string explain_request(1: string request_id) throws (1: PeerError error)
  // Append a claim record to its shard and read its decision back.
  ClaimAnswer claim(1: string record) throws (1: PeerError error)
  // Append a release record to its shard.
  void release(1: string record) throws (1: PeerError error)
  // Unfinished requests of a node that leaves; returns the ids that this node holds now.
  list<string> take_requests(1: string sender, 2: list<binary> requests) throws (1: PeerError error)
  // Their answers so far: the sender has stopped; returns the ids that go on here.
  list<string> take_answers(1: string sender, 2: list<binary> answers) throws (1: PeerError error)
  // The answer's tokens from `start` on, waiting up to `wait_s` seconds for the first.
  AnswerPage read_answer(1: string organisation, 2: string request_id, 3: string key, 4: i32 start, 5: double wait_s)
}

// Calls between nodes. Addresses and log records are text; no result is a bare map.

exception PeerError {
  1: string kind
  2: string message
}

// Part of a response, for a node that relays it to the caller.
struct AnswerPage {
  // False if this node has no record of the request.
  1: bool known
  // Peer address of the node to which the request was moved; empty if it was not.
  2: string moved_to
  // Metadata of the request, only in the page that starts at token 0.
  3: binary head
  4: list<string> tokens
  5: string finish_reason
  6: string error_kind
  7: string error_message
  // Complete response of a plain service.
  8: i32 status
  9: string content_type
  10: binary body
}

// Outcome of a claim, as decided by the order of records in the log.
struct ClaimAnswer {
  1: string verdict
  // Record of the claim that already holds the key; empty if there is none.
  2: string holder
}

service Peer {
  string ping()
  // Returns the configuration in force on this node, as a snapshot record.
  string pull_configuration() throws (1: PeerError error)
  // Returns the trace of a request that this node accepted, as JSON.
  string explain_request(1: string request_id) throws (1: PeerError error)
  // Appends a claim record to its shard and returns the outcome read from the log.
  ClaimAnswer claim(1: string record) throws (1: PeerError error)
  // Appends a release record to its shard.
  void release(1: string record) throws (1: PeerError error)
  // Transfers unfinished requests of a leaving node; returns the ids of those accepted.
  list<string> take_requests(1: string sender, 2: list<binary> requests) throws (1: PeerError error)
  // Transfers their partial responses once the sender has stopped; returns the ids of
  // the requests that continue on this node.
  list<string> take_answers(1: string sender, 2: list<binary> answers) throws (1: PeerError error)
  // Returns the response's tokens from index `start` on; waits up to `wait_s` seconds
  // for the first of them.
  AnswerPage read_answer(1: string organisation, 2: string request_id, 3: string key, 4: i32 start, 5: double wait_s)
}

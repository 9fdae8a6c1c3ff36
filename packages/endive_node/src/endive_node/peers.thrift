// Calls between nodes. Addresses and records are text; answers carry no bare maps.

exception PeerError {
  1: string kind
  2: string message
}

service Peer {
  string ping()
  // The snapshot record of the configuration this node has in force.
  string pull_configuration() throws (1: PeerError error)
  // The notes of a request that this node accepted, as JSON.
  string explain_request(1: string request_id) throws (1: PeerError error)
}

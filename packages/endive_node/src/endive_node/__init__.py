"""The serving process: callers, operators, peers, platform and backend servers.

Its modules, by their work:

- the whole: ``node``, ``settings``, ``interfaces``, ``contexts``, ``cli``, ``embedded``
- callers' side: ``callers``, ``serving``, ``runs``, ``request_registry``, ``watching``
- servers' side: ``attempts``, ``backends``, ``dispatching``, ``waiters``,
  ``server_polling``
- requests that move: ``pending_moves``, ``stream_mover``, ``handover``, ``takeover``,
  ``request_lookup``
- operators: ``operators``, ``reporting``, ``request_traces``
- what the platform says: ``platform``, ``configuration``, ``snapshots``,
  ``snapshot_writer``, ``claiming``, ``shards``, ``notices``
- between nodes: ``gossip``, ``peers``, ``fact_exchange``
- plumbing: ``listeners``, ``sockets``, ``logs``, ``telemetry``
"""

"""The serving process between callers, operators, platform and backend servers.

Its modules by task:

- process: ``node``, ``settings``, ``interfaces``, ``contexts``, ``cli``, ``embedded``
- callers: ``callers``, ``serving``, ``runs``, ``request_registry``, ``watching``
- backend servers: ``attempts``, ``backends``, ``checked_http``, ``dispatching``,
  ``scheduled_requests``, ``server_polling``
- transfer of requests: ``pending_moves``, ``stream_mover``, ``handover``, ``takeover``,
  ``request_lookup``
- operators: ``operators``, ``reporting``, ``request_traces``
- platform: ``platform``, ``configuration``, ``snapshots``,
  ``snapshot_writer``, ``claiming``, ``shards``, ``notices``
- between nodes: ``gossip``, ``peers``, ``fact_exchange``
- infrastructure: ``listeners``, ``connection_limit``, ``call_memory``,
  ``sockets``, ``refusals``, ``logs``, ``telemetry``
"""

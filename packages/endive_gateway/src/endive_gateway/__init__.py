"""The gateway: forwards callers' HTTP requests to backend servers, byte for byte.

It is independent of the platform's protocols: a :class:`~.interfaces.Wire` translates
headers, a :class:`~.interfaces.Store` and a :class:`~.interfaces.Cloud` translate
calls.

Its modules by purpose:

- the process as a whole: ``gateway``, ``context``, ``interfaces``, ``exceptions``,
  ``clocks``, ``loops``, ``turns``, ``file_watching``, ``machine``
- callers' connections: ``callers``, ``exchange``, ``http``, ``statuses``, ``progress``,
  ``memory_budget``, ``bounded_server``, ``refusal_reasons``
- forwarding to servers: ``forwarding``, ``attempts``, ``failed_attempts``,
  ``connections``, ``carried_ids``, ``response_parser``, ``events``, ``placing``,
  ``prefix_fetching``, ``workload``, ``stream_affinity``, ``part_copying``,
  ``server_processes``
- ways to the servers: ``paths``, ``path_monitor``, ``server_checks``, ``transit``,
  ``transit_port``, ``tcp``
- the platform's state, as this node knows it: ``following``, ``configuration``,
  ``server_following``, ``servers``, ``configuration_exchange``, ``listing``,
  ``bootstrap``, ``service_client``, ``store_reading``, ``decoding``, ``quantities``
- messages between nodes: ``peers``, ``nodes``, ``state_messages``, ``datagrams``,
  ``spending``, ``spending_messages``, ``prompts``, ``crash_exchange``,
  ``part_exchange``, ``origin_exchange``, ``origin_messages``, ``contention_exchange``,
  ``order_exchange``
- records of where streams began: ``origin_records``, ``origin_recorder``,
  ``origin_documents``, ``origin_view``, ``origin_claims``
- leases of servers' slots: ``slot_leasing``, ``slot_pooling``, ``pool_coordination``,
  ``coordinators``, ``slot_messages``
- what servers state of themselves: ``server_statements``, ``stated_values``,
  ``header_values``, ``limit_sharing``, ``brittle_services``, ``server_rests``,
  ``leaving_servers``, ``speed_exchange``
- rollouts: ``rollouts``, ``rollout_control``, ``rollout_messages``,
  ``rollout_observation``, ``version_division``
- cluster-wide duties, performed by one node at a time: ``duties``, ``duty_records``,
  ``autoscaling``
- observability: ``logstream``, ``metrics``, ``placement_queries``
"""

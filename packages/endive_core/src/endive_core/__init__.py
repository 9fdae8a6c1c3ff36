"""Decision logic and state of endivestack, without I/O and without a clock of its own.

Its modules by purpose:

- one request: ``calls``, ``lifecycle``, ``bodies``, ``messages``, ``exceptions``,
  ``service_types``
- scheduling, behind the facade ``scheduler``: ``policy``, ``admission``,
  ``queueing``, ``bound_queue``, ``queued_tokens``, ``slot_usage``, ``expiry``,
  ``retry_after``, ``estimators``, ``contention``, ``demand``, ``demand_shares``,
  ``prompt_order``, ``prompt_work``
- placement: ``placement``, ``part_copies``, ``prefixes``, ``prefix_fetch``,
  ``part_holders``, ``source_trust``, ``transfers``, ``ring``, ``hashing``,
  ``servers``, ``backlogs``, ``prefilling``, ``first_tokens``, ``server_speed``,
  ``placement_explanation``
- failures: ``failures``, ``retrying``, ``crashes``, ``crash_news``, ``outliers``,
  ``ejection``, ``response_times``, ``call_pacing``, ``planned_stop``
- parts of prompts that crash servers: ``part_reports``, ``part_crashes``,
  ``part_trials``
- streams that go on: ``stream_origins``, ``possible_origins``
- rollouts: ``rollouts``, ``rollout_stages``, ``rollout_evidence``,
  ``version_comparison``, ``version_admission``, ``traffic_shares``
- ways to servers: ``reachability``, ``transit``
- limits and metering: ``quotas``, ``shared_limits``, ``limit_coordination``,
  ``server_limits``, ``throttling``, ``resting``, ``metering``
- leases of servers' slots: ``slot_leases``, ``slot_pool``, ``slot_queue``,
  ``pooled_servers``, ``slot_scarcity``
- capacity: ``capacity``, ``load_sizing``
- moving streams and requests: ``stream_moves``, ``handover``, ``claims``
- membership: ``membership``, ``members``, ``digests``, ``facts``, ``leases``,
  ``clocks``
- configuration: ``resources``, ``catalogue``, ``routing``, ``records``, ``fold``,
  ``history``, ``findings``, ``freshness``, ``sightings``
"""

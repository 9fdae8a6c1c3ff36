"""Decisions, records and folds of endivestack: no I/O, no clock of its own.

Its modules, by their work:

- one request: ``calls``, ``lifecycle``, ``bodies``, ``messages``, ``exceptions``,
  ``service_types``
- decisions under load, behind one facade: ``scheduler``, ``policy``, ``admission``,
  ``queueing``, ``slot_usage``, ``expiry``, ``retry_after``, ``estimators``
- placing: ``placement``, ``prefixes``, ``ring``, ``hashing``, ``servers``,
  ``backlogs``, ``prefilling``, ``first_tokens``
- failures: ``failures``, ``retrying``, ``crashes``, ``outliers``, ``ejection``
- limits: ``quotas``, ``shared_limits``, ``limit_coordination``, ``metering``
- capacity: ``capacity``, ``load_sizing``
- streams and requests that move: ``stream_moves``, ``handover``, ``claims``
- membership: ``membership``, ``members``, ``digests``, ``facts``, ``leases``,
  ``clocks``
- configuration: ``resources``, ``catalogue``, ``routing``, ``records``, ``fold``,
  ``history``, ``findings``, ``freshness``
"""

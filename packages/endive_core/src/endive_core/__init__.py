"""Decision logic and state of endivestack, without I/O and without a clock of its own.

Its modules by purpose:

- one request: ``calls``, ``lifecycle``, ``bodies``, ``messages``, ``exceptions``,
  ``service_types``
- scheduling, behind the facade ``scheduler``: ``policy``, ``admission``,
  ``queueing``, ``usage``, ``expiry``, ``returning``, ``rates``
- placement: ``placement``, ``prefixes``, ``ring``, ``hashing``, ``servers``,
  ``backlogs``, ``prefilling``, ``first_tokens``
- failures: ``failures``, ``retrying``, ``crashes``, ``outliers``, ``suspicions``
- limits and metering: ``quotas``, ``sharing``, ``counting``, ``metering``
- capacity: ``capacity``, ``load_sizing``
- moving streams and requests: ``shifting``, ``handover``, ``claims``
- membership: ``membership``, ``members``, ``digests``, ``facts``, ``leases``,
  ``clocks``
- configuration: ``resources``, ``catalogue``, ``routing``, ``records``, ``fold``,
  ``history``, ``findings``, ``freshness``
"""

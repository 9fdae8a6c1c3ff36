"""A randomised soak test: gateways as separate processes, with injected faults.

:mod:`soak.play` runs one seed; :mod:`soak.invariants` checks invariants meanwhile.
"""

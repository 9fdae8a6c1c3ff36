"""A randomized soak: real gateways as processes, faults from outside them.

:mod:`soak.play` plays one seed; :mod:`soak.promises` holds what is checked meanwhile.
"""

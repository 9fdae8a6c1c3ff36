"""Experiments with policies: a deployment's load played against the real decisions.

``make experiment`` compares policies on the same seeds and writes a table and a plot.
There is no network and no process; time is simulated, the decision objects are those
that a gateway uses.
"""

"""Comparison of policies by simulating a deployment's load.

``make experiment`` compares policies on the same seeds and writes a table and a plot.
Time is simulated in one process without a network; the decision objects are those that
a gateway uses.
"""

"""Simulated services for tests and demos.

Each stand-in is a small HTTP server that takes the place of one service of the platform
or of one backend server. Faults are injected with ``POST /faults``.
"""

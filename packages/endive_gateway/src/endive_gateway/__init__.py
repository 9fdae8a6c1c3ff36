"""The gateway: callers' HTTP requests forwarded to backend servers, byte for byte.

It knows no names of any platform's wire: a :class:`~.interfaces.Wire` translates
headers, a :class:`~.interfaces.Store` and a :class:`~.interfaces.Cloud` translate
calls.
"""

"""The gateway: callers' HTTP requests forwarded to backend servers, byte for byte.

It knows no names of any platform's wire: a :class:`~.interfaces.Wire` translates
headers, a :class:`~.interfaces.Store` and a :class:`~.interfaces.Cloud` translate
calls.

Its modules, by their work:

- the whole: ``gateway``, ``context``, ``interfaces``, ``exceptions``, ``clocks``,
  ``loops``
- callers' side: ``callers``, ``http``, ``statuses``, ``progress``
- servers' side: ``forwarding``, ``attempts``, ``connections``, ``events``, ``placing``,
  ``workload``
- what the platform says: ``following``, ``configuration``, ``servers``,
  ``configuration_exchange``, ``listing``
- between nodes: ``peers``, ``nodes``, ``state_messages``, ``datagrams``, ``spending``,
  ``prompts``
- what one node does for all: ``duties``, ``autoscaling``
- watching it: ``logstream``, ``metrics``
"""

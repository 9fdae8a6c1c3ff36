"""Kinds of faults that are drawn together."""

from soak.faults import FAULTS

LATER_KINDS = {
    "crashing_request",
    "crashing_part",
    "connections_at_one_node",
    "server_limited",
    "server_rests",
    "server_says_it_leaves",
    "server_unframed",
    "server_silent",
    "servers_brittle",
    "servers_uneven",
    "few_slots",
    "nodes_cut_from_servers",
    "rollout",
    "lost_amid_versions",
    "fetches_hang",
    "ordered_rollout",
    "demand_burst",
    "odd_entries",
    "server_leaves_by_its_entry",
    "server_writes_foreign_bytes",
    "server_starts_again",
    "holder_stops_amid_its_call",
    "server_sends_without_end",
    "callers_flood",
    "callers_expect_versions",
    "callers_send_long_prompts",
    "odd_callers",
    "server_cuts_answers",
    "server_sends_no_answers",
    "server_refuses_twice",
    "late_senders_at_a_stop",
}
FAULTY_ANSWERS = {
    "server_cuts_answers",
    "server_sends_no_answers",
    "server_refuses_twice",
    "late_senders_at_a_stop",
}
EARLIER_KINDS = tuple(sorted(set(FAULTS) - LATER_KINDS))
FIRST_KINDS = tuple(sorted(set(EARLIER_KINDS) - {"store_silent", "links_fall_silent"}))
KINDS_WITH_ODD_CALLERS = tuple(sorted(set(FAULTS) - FAULTY_ANSWERS))
KINDS_BEFORE_ODD_CALLERS = tuple(sorted(set(KINDS_WITH_ODD_CALLERS) - {"odd_callers"}))
"""Kinds of which older seeds draw their faults. With more kinds the same seeds would
draw other faults."""

CRASHES = (
    "crashing_request",
    "reload",
    "change_configuration",
    "cloud_down",
    "step_clock",
)
PARTS = ("crashing_part", "reload", "change_configuration", "step_clock")
UNEVEN = ("connections_at_one_node", "change_configuration", "cloud_down")
SILENCES = ("store_silent", "links_fall_silent", "change_configuration")

LIMITED_SERVERS = ("server_limited", "reload", "change_configuration")
RESTS = ("server_rests", "change_configuration")
DEPARTING = ("server_says_it_leaves", "store_silent", "change_configuration")
SERVERS_CUT = ("nodes_cut_from_servers", "change_configuration")
BRITTLE = ("servers_brittle", "change_configuration", "restart")
FEW_SLOTS = ("few_slots", "change_configuration")
SILENT = ("server_silent", "reload", "change_configuration")
ROLLOUTS = ("rollout", "kill", "server_crash")
REJOINED = ("lost_amid_versions",)
FETCHES = ("fetches_hang",)
SPEEDS = ("servers_uneven", "reload", "change_configuration")
DEMAND = ("demand_burst",)
ORDERED = ("ordered_rollout",)
ORDERED_AMID_FAULTS = ("ordered_rollout", "kill", "server_crash", "store_down")
FOREIGN_BYTES = ("server_writes_foreign_bytes", "server_leaves", "restart")
ODD_ENTRIES = ("odd_entries", "server_leaves_by_its_entry")
STARTED_AGAIN = ("server_starts_again",)
STARTED_AGAIN_AMID_LOSSES = STARTED_AGAIN + (
    "lost_amid_versions",
    "kill",
    "server_crash",
)
STOPPING_HOLDERS = ("holder_stops_amid_its_call",)
ENDLESS = ("server_sends_without_end", "server_leaves", "restart")
ODD_VERSIONS = ("callers_expect_versions", "reload", "change_configuration")
LONG_PROMPTS = ("callers_send_long_prompts", "reload", "change_configuration")
FLOODS = ("callers_flood", "server_leaves", "restart")
ODD_CALLERS = ("odd_callers", "restart", "change_configuration")
UNFRAMED = ("server_unframed", "server_leaves", "restart")
CUT_ANSWERS = ("server_cuts_answers", "server_leaves", "restart")
NO_ANSWERS = ("server_sends_no_answers", "server_leaves", "restart")
SECOND_REFUSALS = ("server_refuses_twice", "reload", "change_configuration")
LATE_SENDERS = ("late_senders_at_a_stop", "change_configuration")

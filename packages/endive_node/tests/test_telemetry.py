from endive_core.exceptions import REFUSAL_KINDS, RetryReason
from endive_node.logs import format_event
from endive_node.telemetry import Metrics


def test_scrape_page_has_a_counter_for_each_refusal_and_retry_reason():
    page = Metrics().page().decode()
    for kind in REFUSAL_KINDS:
        assert f"endive_refused_{kind}_total 0.0" in page
    for reason in RetryReason:
        assert f"endive_retried_{reason}_total 0.0" in page


def test_refusals_of_two_nodes_in_one_process_are_counted_apart():
    first, second = Metrics(), Metrics()
    kind = next(iter(REFUSAL_KINDS))
    first.count_refusal(kind)
    assert f"endive_refused_{kind}_total 1.0" in first.page().decode()
    assert f"endive_refused_{kind}_total 0.0" in second.page().decode()


def test_an_event_is_one_line_of_key_value_pairs():
    line = format_event("request_ended", outcome="ok", note='two\n"words"', seconds=0.5)
    assert line == "event=request_ended outcome=ok note=\"two\\n'words'\" seconds=0.5"


def test_tokens_are_counted_on_the_page():
    metrics = Metrics()
    assert "endive_tokens_sent_total 0.0" in metrics.page().decode()
    metrics.tokens.add(3)
    metrics.tokens.add(4)
    assert "endive_tokens_sent_total 7.0" in metrics.page().decode()

from endive_gateway.progress import Progress


def test_first_byte_and_longest_gap():
    progress = Progress(received_at=10.0)
    progress.dispatched(0.2, 1500.0)
    for now in (10.5, 10.6, 11.1, 11.2):
        progress.chunk_forwarded(now)
    assert progress.fields() == {
        "queued_ms": 200,
        "first_ms": 500,
        "gap_ms": 500,
        "uncached": 1500,
    }


def test_waits_of_all_attempts_add_up():
    progress = Progress(received_at=0.0)
    progress.dispatched(0.1, 0.0)
    progress.dispatched(0.3, 0.0)
    assert progress.fields() == {"queued_ms": 400}


def test_how_a_stream_ended():
    progress = Progress(received_at=0.0)
    progress.events, progress.unfinished_bytes = 3, 7
    progress.ends_with_connection = True
    assert progress.fields() == {"events": 3, "unfinished": 7, "unframed": 1}

from endive_core.load_sizing import PEAK_WINDOW_S, LoadMeter


def test_a_trough_does_not_lower_the_peak_at_once():
    meter = LoadMeter()
    meter.add(10.0, 0.0)
    meter.add(4.0, PEAK_WINDOW_S / 2)
    assert meter.peak() == 10.0
    meter.add(4.0, PEAK_WINDOW_S + 1.0)
    assert meter.peak() == 4.0

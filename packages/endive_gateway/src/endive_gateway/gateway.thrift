// What gateways tell each other over UDP, several times a second.

struct Window {
  1: i64 number
  2: map<string, i32> counts
}

struct Crash {
  1: string fingerprint
  2: string server
  3: i64 age_ms
}

struct Telling {
  1: string node
  2: i64 incarnation
  3: i64 sequence
  4: i64 wall_ms
  5: i64 version
  6: bool gone
  7: map<string, double> spent
  8: map<string, double> work
  9: list<Window> windows
  10: list<Crash> crashes
  11: i64 fence
  12: i64 reported
}

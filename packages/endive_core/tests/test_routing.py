from endive_core.routing import (
    OrganisationLimits,
    Route,
    RouteKind,
    RoutingTable,
    Split,
)


def route(prefix, host="a.example", **options):
    options.setdefault("kind", RouteKind.IDEMPOTENT)
    options.setdefault("splits", (Split("s", 1.0),))
    return Route(name=prefix, host=host, path_prefix=prefix, **options)


def table(*routes, keys=None, organisations=None):
    return RoutingTable(
        version=1,
        routes=routes,
        services={},
        organisations=organisations,
        keys=keys or {},
    )


def test_the_longest_prefix_wins():
    made = table(route("/"), route("/a/"), route("/a/b/"))
    assert made.match("a.example", "/a/b/c").name == "/a/b/"
    assert made.match("a.example", "/a/b").name == "/a/"
    assert made.match("a.example", "/ab/c").name == "/"


def test_a_prefix_ends_at_a_slash():
    made = table(route("/a/"))
    assert made.match("a.example", "/ab") is None
    assert made.match("a.example", "/a") is None
    assert made.match("a.example", "/a/").name == "/a/"


def test_another_host_has_no_routes():
    assert table(route("/")).match("b.example", "/") is None


def test_a_key_is_needed_unless_the_route_is_public():
    limits = {"o": OrganisationLimits("o")}
    closed, public = route("/a/"), route("/b/", public=True)
    made = table(closed, public, keys={"k": "o"}, organisations=limits)
    assert made.allows(closed, "k")
    assert not made.allows(closed, "")
    assert not made.allows(closed, "other")
    assert made.allows(public, "")


def test_without_organisations_no_key_is_needed():
    closed = route("/a/")
    assert table(closed).allows(closed, "")


def test_splits_follow_their_weights():
    made = route("/", splits=(Split("a", 90), Split("b", 10)))
    assert made.choose(0.0) == made.choose(0.89) == "a"
    assert made.choose(0.91) == made.choose(0.999999) == "b"


def test_only_resumable_streams_and_idempotent_calls_may_be_repeated():
    assert route("/").retryable
    assert not route("/", kind=RouteKind.NON_IDEMPOTENT).retryable
    assert not route("/", kind=RouteKind.STREAM).retryable
    assert route("/", kind=RouteKind.STREAM, resumable=True).retryable


def test_a_request_counts_by_its_tokens_only_where_the_limit_does():
    plain = OrganisationLimits("o", plain_tokens=200)
    by_tokens = OrganisationLimits("o", counts_tokens=True, plain_tokens=200)
    assert plain.units(1500, 30) == 1.0
    assert by_tokens.units(1500, 30) == 1530.0
    assert by_tokens.units(1500, None) == 1500.0
    assert by_tokens.units(None, None) == 200.0

"""Fields of a configuration that are stored without being interpreted are listed by path."""

from sumachook.configuration.carried_fields import carried_fields


def test_uninterpreted_fields_of_every_level_are_listed_once():
    """Given fields in `extra` at the top level, in items and in nested items, each path is listed once, and fields that are
    interpreted are not listed."""
    model = {"name": "m", "extra": {"dtype": "f8"}}
    document = {
        "version": 4,
        "extra": {"owners": [{"name": "o", "extra": {}}], "note": None},
        "limits": {"idleMs": 1, "extra": {"rate": 2}},
        "services": [{"name": "s", "engine": {"models": [model, model]}}, {"name": "t", "extra": {"tls": False}}],
        "httpRoutes": [],
    }
    assert carried_fields(document) == ("limits.rate", "note", "owners", "services.engine.models.dtype", "services.tls")
    assert carried_fields(None) == carried_fields([1, "extra"]) == ()

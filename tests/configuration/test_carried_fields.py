"""What a configuration carries without being read is told where it comes into force."""

from sumachook.configuration.carried_fields import carried_fields


def test_fields_on_every_level_are_named_once():
    """Given unknown fields at the top, in items and in items of items, each path is named once; what is read is not."""
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

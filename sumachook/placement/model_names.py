"""Builds and splits the names of models ("model") and adapters ("model/adapter")."""


def full_name(model: str, adapter: str = "") -> str:
    """Returns the name of a model, or of one of its adapters.

    >>> full_name("m"), full_name("m", "a1")
    ('m', 'm/a1')
    """
    return f"{model}/{adapter}" if adapter else model


def split_name(name: str) -> tuple[str, str]:
    """Splits a name into the model and the adapter, which is "" for the model itself.

    >>> split_name("m"), split_name("m/a1")
    (('m', ''), ('m', 'a1'))
    """
    model, _, adapter = name.partition("/")
    return model, adapter


def model_of(name: str) -> str:
    """Returns the model that a name denotes, or the base model of the adapter that it denotes."""
    return name.partition("/")[0]

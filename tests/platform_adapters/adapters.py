"""The adapters of the users' platform, for tests of other packages: importing this one puts their folder on the path."""

from documents import from_platform, to_platform
from node_adapter import NodeAdapter
from order_port import PlatformOrderPort
from request_port import PlatformRequestPort
from settings_port import read_settings

__all__ = ["NodeAdapter", "PlatformOrderPort", "PlatformRequestPort", "from_platform", "read_settings", "to_platform"]

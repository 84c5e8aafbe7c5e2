"""Re-exports the platform adapters to tests of other packages; importing it adds the `platform` folder to sys.path."""

from documents import from_platform, to_platform
from node_adapter import NodeAdapter
from order_port import PlatformOrderPort
from request_port import PlatformRequestPort
from settings_port import read_settings

__all__ = ["NodeAdapter", "PlatformOrderPort", "PlatformRequestPort", "from_platform", "read_settings", "to_platform"]

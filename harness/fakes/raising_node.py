"""Starts a node of deploy/system.toml in which one component of a core raises at every n-th event of each kind.

`python -m harness.fakes.raising_node core|edge`; the variable HARNESS_RAISING holds "component:period".
"""

import os
import runpy
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
VARIABLE = "HARNESS_RAISING"


def make_components_raise(component: str, period: int) -> None:
    """Makes the class of a component raise before its work at every `period`-th event of each kind."""
    from harness.fakes.raising_component import FailurePlan, FailurePoint
    from sumachook.leases.leases import Leases
    from sumachook.placement.inventory_reader import InventoryReader
    from sumachook.placement.placer import Placer
    from sumachook.placement.provisioner import Provisioner

    classes = {
        "leases": Leases,
        "inventory_reader": InventoryReader,
        "placer": Placer,
        "provisioner": Provisioner,
    }
    raising = classes[component]
    take, plan = raising.take, FailurePlan(period, FailurePoint.BEFORE)

    def raising_take(self, event, now):
        kind = type(getattr(event, "message", event)).__name__
        return plan.call(kind, lambda: take(self, event, now))

    raising.take = raising_take


def main() -> None:
    """Patches the component, then runs platform/node.py with the given role."""
    component, _, period = os.environ[VARIABLE].partition(":")
    if sys.argv[1] == "core":
        make_components_raise(component, int(period))
    sys.path[0] = str(ROOT / "platform")
    sys.argv[0] = str(ROOT / "platform" / "node.py")
    runpy.run_path(sys.argv[0], run_name="__main__")


if __name__ == "__main__":
    main()

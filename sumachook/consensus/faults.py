"""Why a proposal was not ordered."""

from sumachook.fault import Fault

NO_VIEW = Fault("consensus", "no working view")
TOO_MANY = Fault("consensus", "too many changes waiting")
TOO_LARGE = Fault("consensus", "the change is too large")

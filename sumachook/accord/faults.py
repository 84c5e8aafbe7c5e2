"""Why a change was not ordered."""

from sumachook.fault import Fault

NO_VIEW = Fault("accord", "no working view")
TOO_MANY = Fault("accord", "too many changes waiting")

"""What can go wrong with a parcel."""

from sumachook.fault import Fault

GARBAGE = Fault("wire", "garbage")
TOO_LONG = Fault("wire", "too long")
STRANGER = Fault("wire", "other cluster")
UNKNOWN = Fault("wire", "unknown kind")

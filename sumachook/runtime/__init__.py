"""Clock, pulses and the supervisor tree."""

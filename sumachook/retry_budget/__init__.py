"""The retry budget of the fleet: limits retries per service, and transfers retry credit between edges."""

"""Tests of the harness itself: it counts what it measures and judges, and reports errors instead of empty results."""

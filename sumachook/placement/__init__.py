"""Replica placement: decides which servers hold which models, and orders the loads and unloads for it."""

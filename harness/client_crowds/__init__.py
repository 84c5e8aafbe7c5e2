"""Crowds of clients that send, hold or read as little as they can, against real processes with limited memory."""

"""Fakes of the users' platform around the system, written from its documentation: real sockets in one process."""

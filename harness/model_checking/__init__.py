"""Model checker for the real control state machines, in virtual time (docs/design.md docs/design/simulation.md).

`walk` draws long random schedules of faults and operator requests for whole cores. `explore` tries every sequence of
steps up to a depth on three replicas of the consensus state machine. `invariants` checks what a client can observe,
`shrink` minimizes a counter-example, and `schedule` saves and replays a schedule.
"""

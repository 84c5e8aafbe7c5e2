"""The ledger: a leaderless replicated log of all requests.

Each edge writes an opening and a closing record of each request (`writer`) to two voters (`replica_selection`), which
store and acknowledge them (`replica_store`). Records that these voters can't store at once are kept by hinted handoff,
relayed by other edges or spilled to disk.
"""

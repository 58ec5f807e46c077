"""Stand-ins on loopback for playout nodes, the list service and viewers, with fault injection.

They communicate with a front over sockets alone and record the traffic at their own side
(`curlewhall.records`). Segments are sent in real time, with their size scaled down by the plan's
`byte_scale`.
"""

"""The platform's two languages, as bytes: what viewers speak, and RTSP to nodes. No I/O; below `relay/` and
the stand-ins, which both read and write them.
"""

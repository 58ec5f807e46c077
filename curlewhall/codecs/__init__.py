"""Encoders and decoders of the platform's two protocols: the viewers' binary messages, and RTSP to nodes.

No I/O. The relay and the stand-ins both use them; they depend on nothing else of the program.
"""

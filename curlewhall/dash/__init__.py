"""Formats of players and nodes: manifests (ISO/IEC 23009-1), session tokens (RFC 7519), CMCD (CTA-5004) and
CMSD (CTA-5006).
"""

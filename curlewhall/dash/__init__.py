"""What viewers and nodes read: manifests (ISO/IEC 23009-1), session tokens (RFC 7519), CMSD (CTA-5006)."""

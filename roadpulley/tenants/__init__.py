"""Credentials, authentication and fair queueing of several tenants. See docs/design/hosted.md."""

"""Several tenants in one installation: credentials, authentication and fair queueing. See docs/design/hosted.md."""

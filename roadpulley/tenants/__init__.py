"""Many tenants in one installation. See docs/design/hosted.md."""

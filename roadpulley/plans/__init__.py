"""Plans as versioned records that can change under traffic. See docs/design/plans.md."""

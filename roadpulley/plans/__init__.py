"""Plans as versioned records, changed while traffic flows. See docs/design/plans.md."""

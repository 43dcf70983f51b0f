"""What limits of the whole fleet promise: bounds that follow from settings alone."""

"""Outlier detection over all gateways: health reports of backends, and the verdicts that follow from them."""

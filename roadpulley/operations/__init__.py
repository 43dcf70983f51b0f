"""The lifecycle of the gateway process, the operators' calls, the metrics, and handover between processes."""

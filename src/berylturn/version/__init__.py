"""State and rules that depend on one version of the configuration."""
